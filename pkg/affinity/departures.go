package affinity

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// leaveMargin is the part of the time of upstreams that leave which is left for a request's way there.
const leaveMargin = 300 * time.Millisecond

// departures knows when upstreams that leave were last known to be ready. The rest of a stream may be
// sent to one of them for a while: near the end of a release all that is left of a version may leave.
type departures struct {
	mu sync.Mutex
	// limit is how long an upstream that leaves may be sent the rest of streams, from its announcement
	// on; 0 for not at all.
	limit time.Duration
	ready map[upstream.Life]bool
	left  map[upstream.Life]time.Time
}

func (d *departures) setLimit(limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limit
}

// setList takes over a new list; the one before was current at known.
func (d *departures) setList(set *upstream.Set, known time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ready, left := make(map[upstream.Life]bool), make(map[upstream.Life]time.Time)
	for _, in := range set.List() {
		life := in.Life()
		switch since, leaving := d.left[life]; {
		case in.State == upstream.Ready:
			ready[life] = true
		case in.State == upstream.Draining && leaving:
			left[life] = since
		case in.State == upstream.Draining && d.ready[life]:
			left[life] = known
		}
	}
	d.ready, d.left = ready, left
}

// mayGoOn reports whether an upstream that leaves may still be sent the rest of a stream.
func (d *departures) mayGoOn(in *upstream.Instance, now time.Time) bool {
	if in.State != upstream.Draining {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	since, known := d.left[in.Life()]
	return known && now.Sub(since) < d.limit-leaveMargin
}
