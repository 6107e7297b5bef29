package catalog

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Bounds of the simulation.
const (
	simSeeds  = 15
	simLength = time.Minute
	simStep   = 20 * time.Millisecond
	// drainLimit is the time after which an undisturbed router sends no requests to an upstream that left.
	drainLimit = 2 * time.Second
)

// departedInUse describes an upstream that the router still uses although it left; empty for none.
func (r *simRouter) departedInUse(now time.Time) string {
	if !r.undisturbed(now) {
		return ""
	}
	for _, in := range r.catalog.Instances().List() {
		if at, gone := r.sim.departed[in.ID]; gone && in.State == upstream.Ready && now.Sub(at) > drainLimit {
			return fmt.Sprintf("router %d uses %s, %v after it left", r.rank, in.ID, now.Sub(at))
		}
	}
	return ""
}

// lostUpstreams describes a router that has no usable upstream although some that it knew are alive;
// empty for none.
func (r *simRouter) lostUpstreams() string {
	usable, lost := 0, 0
	for id := range r.sim.alive {
		switch in := r.catalog.Instances().Get(id); {
		case in != nil && in.State == upstream.Ready:
			usable++
			r.known[id] = true
		case r.known[id]:
			lost++
		}
	}
	if usable == 0 && lost > 0 {
		return fmt.Sprintf("router %d has none of %d live upstreams, %d of which it knew before", r.rank, len(r.sim.alive), lost)
	}
	return ""
}

// Guards against upstreams that are used after they left, and against expired entries that leave a
// router without upstreams, while routers and the store are cut off in any order.
func TestDeparturesAndExpiredEntriesAreDistinguished(t *testing.T) {
	for seed := range uint64(simSeeds) {
		synctest.Test(t, func(t *testing.T) {
			l, _ := newTestLogger()
			s := newSim(seed, l)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for _, r := range s.routers {
				go NewWatcher(r.catalog, r, r, l).WatchInstances(ctx)
			}
			for began := time.Now(); time.Since(began) < simLength; time.Sleep(simStep) {
				s.step(simStep)
				synctest.Wait()
				s.mu.Lock()
				for _, r := range s.routers {
					require.Empty(t, r.departedInUse(time.Now()), "seed %d after %v", seed, time.Since(began))
					require.Empty(t, r.lostUpstreams(), "seed %d after %v", seed, time.Since(began))
				}
				s.mu.Unlock()
			}
		})
	}
}
