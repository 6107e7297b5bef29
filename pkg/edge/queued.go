package edge

import "time"

// drainWeight is the weight of the newest interval in the mean interval.
const drainWeight = 0.2

// queued is one organisation's waiting requests and how fast they leave.
type queued struct {
	waiting  int
	last     time.Time     // the last leave, or the enter that ended an idle time
	interval time.Duration // mean time between two leaves while requests wait
}

func (q *queued) enter(now time.Time) {
	if q.waiting == 0 {
		q.last = now
	}
	q.waiting++
}

func (q *queued) leave(now time.Time) {
	q.waiting--
	took := now.Sub(q.last)
	q.last = now
	if q.interval == 0 {
		q.interval = took
		return
	}
	q.interval += time.Duration(drainWeight * float64(took-q.interval))
}

// retryAfter is the time in which half of the queue drains, so that a caller that
// comes back then finds room even when others come back too.
func (q *queued) retryAfter() time.Duration {
	if q.interval == 0 {
		return unknownRetryAfter
	}
	return min(max(q.interval*time.Duration(q.waiting)/2, minRetryAfter), maxRetryAfter)
}
