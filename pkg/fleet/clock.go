package fleet

import "time"

// uptimeMs is this router's monotonic clock, in milliseconds since it started; at least 1.
func (f *Fleet) uptimeMs(now time.Time) int64 { return max(1, now.Sub(f.startedAt).Milliseconds()) }

// requestSentAfter returns a time after which the sender certainly built a request: the request
// echoes a report that this router made at that time. It is zero for a request without a usable echo.
//
// A request may have waited here or on the network, so the list that it describes is older than
// it says. If its age were taken at face value, two routers that report to each other in turn
// would keep a list fresh that nobody reads from the store any more, and a router behind a
// network partition, or one that stood still, would be taken to have a current list afterwards.
// Responses are dated from their request.
func (f *Fleet) requestSentAfter(r *Report, now time.Time) time.Time {
	if r.Echo <= 0 || r.AckLife != f.self.Started {
		return time.Time{}
	}
	echoed := f.startedAt.Add(time.Duration(r.Echo) * time.Millisecond)
	if echoed.After(now) {
		return time.Time{}
	}
	if latest := now.Add(-maxRequestDelay); echoed.After(latest) {
		return latest
	}
	return echoed
}

// withoutAges returns r without what depends on when it was made, for a request that can't be dated. The
// next report of its sender can.
func (r *Report) withoutAges() *Report {
	undated := *r
	undated.Store, undated.Update = nil, nil
	if r.Software != nil {
		software := *r.Software
		software.WatchedMs, software.SinceFounding = 0, false
		undated.Software = &software
	}
	return &undated
}

// latestUse returns from when the ages in a report count that protect the longer the younger they are: of
// versions that served, and of upstreams that leave.
func latestUse(createdAt, now time.Time) time.Time {
	if createdAt.IsZero() {
		return now
	}
	return createdAt
}
