package config

import "time"

// outage is a streak of failed reads of the table's head row.
type outage struct {
	// since and last are when the streak's first and latest read were sent; zero
	// while the table can be read.
	since, last time.Time
}

// failed notes a read that was sent at sent and didn't succeed. A gap over limit
// starts a new streak: the router was paused, and knows nothing of the time between.
func (o *outage) failed(sent time.Time, limit time.Duration) {
	if o.since.IsZero() || sent.Sub(o.last) > limit {
		o.since = sent
	}
	if sent.After(o.last) {
		o.last = sent
	}
}

func (o *outage) succeeded() { *o = outage{} }

// proven says whether the table has been out for at least settle, as seen by reads
// of which the latest was sent within limit before now.
//
// The failure it guards against: a router that was paused wakes up, still counts the
// peers it heard before as reachable, and one failed read would let it serve a
// configuration from before the pause. It would show as an old version in answers
// after a pause. By requiring reads that failed for the whole of settle, which is
// longer than a silent peer counts as reachable, the peers were asked again. A pause
// shorter than limit doesn't break the streak; it can't hide more than limit.
func (o *outage) proven(now time.Time, settle, limit time.Duration) bool {
	return !o.since.IsZero() && now.Sub(o.last) <= limit && now.Sub(o.since) >= settle
}
