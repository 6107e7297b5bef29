package affinity

import (
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// ExpectUpstreams prepares for a list of upstreams that is about to be in use: no stream may begin at a
// version before it is known whether others can take another one for the sole one.
func (t *Tracker) ExpectUpstreams(set *upstream.Set, now time.Time) { t.history.expect(set, now) }

func (h *history) expect(set *upstream.Set, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markListed(set, now)
	h.openSole(now)
}

// markListed notes the versions that a list holds, and returns them. One that comes back waits like a new one: a router
// that saw neither list of its first time knows nothing of it.
func (h *history) markListed(set *upstream.Set, now time.Time) map[*version]bool {
	h.lists++
	listed := make(map[*version]bool)
	for _, in := range set.List() {
		if in.State == upstream.Unusable {
			continue
		}
		v := h.get(in.Service, in.Software, now)
		listed[v] = true
		if !v.listed {
			v.listed, v.open, v.since, v.revision, v.lastListed = true, false, now, 0, now
			h.logListed(in.Service, in.Software, true)
		}
	}
	return listed
}

func (h *history) listCount() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lists
}

func (h *history) logListed(service, name string, listed bool) {
	h.log.WithFields(log.Fields{"event": "software_listed", "service": service, "software": name, "listed": listed}).Info("software version of a service")
}
