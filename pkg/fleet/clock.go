package fleet

import "time"

// uptimeMs is this router's monotonic clock, in milliseconds since it started; at least 1.
func (f *Fleet) uptimeMs(now time.Time) int64 { return max(1, now.Sub(f.startedAt).Milliseconds()) }

// requestSentAfter returns a time after which the sender certainly built a request: the request
// echoes a report that this router made at that time. A request without a usable echo is assumed
// to have been in flight for no longer than maxRequestDelay.
//
// A request may have waited here or on the network, so the list that it describes is older than
// it says. If its age were taken at face value, two routers that report to each other in turn
// would keep a list fresh that nobody reads from the store any more, and a router behind a
// network partition would be taken to have a current list when the partition heals. Responses are
// dated from their request.
func (f *Fleet) requestSentAfter(r *Report, now time.Time) time.Time {
	latest := now.Add(-maxRequestDelay)
	if r.Echo <= 0 || r.AckLife != f.self.Started {
		return latest
	}
	if echoed := f.startedAt.Add(time.Duration(r.Echo) * time.Millisecond); echoed.Before(latest) {
		return echoed
	}
	return latest
}
