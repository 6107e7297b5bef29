package gatewayd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// drainTime is the time after which an upstream that leaves must get no more requests.
const drainTime = 2 * time.Second

// untilAll lets time pass until all routers know something, and fails after a time.
func (f *fleetModel) untilAll(t *testing.T, within time.Duration, what string, known func(r *modelRouter) bool) {
	t.Helper()
	began := time.Now()
	for _, r := range f.routers {
		for !known(r) {
			f.advance(50 * time.Millisecond)
			require.Less(t, time.Since(began), within, "%d routers: %s", len(f.routers), what)
		}
	}
	t.Logf("%d routers: %s after %v", len(f.routers), what, time.Since(began))
}

// Guards against announcements of upstreams that idle routers hear of when requests have reached the upstream through
// them for long, in fleets with hubs and without.
func TestAnnouncedDeparturesAreKnownEverywhereInTime(t *testing.T) {
	for _, n := range modelSizes(6, 18, 30, 91) {
		for _, reporter := range []int{0, n / 2, n - 1} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetModel(n)
				defer f.close()
				f.advance(20 * time.Second)
				life := f.list[3].Life()
				f.routers[reporter].catalog.NoteDeparture(catalog.Departure{Life: life, At: time.Now()}, "response")
				f.untilAll(t, drainTime, "the announcement is known", func(r *modelRouter) bool {
					return !r.catalog.Placeable(r.catalog.Instances().Get(life.ID))
				})
			})
		}
	}
}

// Guards against routers that stay with the list of the era before, whose versions are higher, although others have read
// the store since it came back from a copy.
func TestRoutersAgreeOnANewEraInTime(t *testing.T) {
	for _, n := range modelSizes(8, 30, 91) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetModel(n)
			defer f.close()
			f.rev = 5000
			f.advance(20 * time.Second)
			left := f.list[3]
			left.State = upstream.Draining
			f.rev = catalog.NewRevision(2, 4000)
			for _, r := range f.routers[:storeReaders] {
				r.catalog.Replace(append([]upstream.Instance(nil), f.list...), f.rev, time.Now(), "store")
			}
			f.rev++
			for _, r := range f.routers[:storeReaders] {
				r.catalog.Apply([]upstream.Change{{Instance: left}}, f.rev-1, f.rev, time.Now(), "store")
			}
			f.untilAll(t, drainTime, "the departure of the new era is known", func(r *modelRouter) bool {
				return r.catalog.InstancesRevision().Era() == 2 && !r.catalog.Placeable(r.catalog.Instances().Get(left.ID))
			})
		})
	}
}
