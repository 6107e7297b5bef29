package gatewayd

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// startAgain starts a router that was killed, as the last of the list; it knows all others and has read the list.
func (f *fleetModel) startAgain(m fleet.Member) *modelRouter {
	m.Started++
	r := f.router(m)
	r.fleet.AddMembers(f.members)
	f.routers = append(f.routers, r)
	f.read(r)
	f.run(f.ctx, r)
	return r
}

// read delivers the list as the store has it to routers.
func (f *fleetModel) read(routers ...*modelRouter) {
	for _, r := range routers {
		r.catalog.Replace(slices.Clone(f.list), f.rev, time.Now(), "store")
	}
}

func (r *modelRouter) claims(version string) bool {
	return r.local.streams.Reply(affinity.Question{Service: "llm"}, time.Now()).Version == affinity.VersionIDOf("llm", version)
}

// Guards against a router that stood still and takes the old version for the sole one when another one has begun
// streams. What waited for it holds the first reports of a router that had started just before, which echo nothing.
func TestARouterThatStoodStillClaimsNoVersionBesideAnother(t *testing.T) {
	for still := time.Second; still <= 8*time.Second; still += time.Second {
		t.Run(still.String(), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { standStillAsAVersionJoins(t, still) }) })
	}
}

func standStillAsAVersionJoins(t *testing.T, still time.Duration) {
	f := newFleetModel(3)
	defer f.close()
	for i := range f.list {
		f.list[i].Software = "1"
	}
	f.routers[0].local.streams.MarkFounded()
	f.advance(3 * time.Second)
	other, late := f.routers[0], f.routers[2]
	require.True(t, late.claims("1"))
	late.host.StandStill(still)
	f.kill(1)
	again := f.startAgain(f.members[1])
	time.Sleep(500 * time.Millisecond)
	f.rev++
	joined := upstream.Instance{ID: "new", Service: "llm", Software: "2", Addr: "10.4.65.1:8260", Zone: "hall-a", State: upstream.Ready, Slots: 24}
	f.list = append(f.list, joined)
	began := false
	for i := range 1200 {
		if i%50 == 0 {
			f.read(other, again)
		}
		time.Sleep(10 * time.Millisecond)
		began = began || other.local.streams.Open(&joined, time.Now()) || again.local.streams.Open(&joined, time.Now())
		require.False(t, began && late.claims("1"), "%d ms after the version joined", 10*i)
	}
	require.True(t, began)
}
