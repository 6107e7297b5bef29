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

// startAgain starts a router that was killed, as the last of the list; it knows some others and has read the list.
func (f *fleetModel) startAgain(m fleet.Member, known []fleet.Member) *modelRouter {
	m.Started++
	r := f.router(m)
	r.fleet.AddMembers(known)
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
		t.Run(still.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { outOfStep{routers: 3, still: still, joins: 500 * time.Millisecond}.play(t) })
		})
	}
}

// Guards against streams that begin at a version while a router that is cut off claims another one: they began at once
// at a router that had just started and didn't know the one that had fallen silent.
func TestANewRouterBeginsNothingBesideAClaim(t *testing.T) {
	for name, one := range map[string]outOfStep{
		"it has asked one of 3": {routers: 3, knows: 1, still: 5 * time.Second, starts: 1500 * time.Millisecond, joins: 200 * time.Millisecond},
		"it has read 32 of 40":  {routers: 40, knows: 32, still: 5 * time.Second, starts: 1800 * time.Millisecond, joins: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, one.play) })
	}
}

// outOfStep is a play in which the last of some routers stands still, or is cut off, for a time. The second one is down
// until it starts again, knowing the first ones; after that a version joins.
type outOfStep struct {
	routers, knows       int
	still, starts, joins time.Duration
}

func (o outOfStep) play(t *testing.T) {
	f := newFleetModel(o.routers)
	defer f.close()
	for i := range f.list {
		f.list[i].Software = "1"
	}
	f.routers[0].local.streams.MarkFounded()
	f.advance(6 * time.Second)
	late := f.weakest()
	f.read(late)
	require.True(t, late.claims("1"))
	late.host.StandStill(o.still)
	f.kill(1)
	f.publishTo(o.starts)
	known := f.members
	if o.knows > 0 {
		known = f.members[:o.knows]
	}
	again := f.startAgain(f.members[1], known)
	f.publishTo(o.joins)
	f.rev++
	joined := upstream.Instance{ID: "new", Service: "llm", Software: "2", Addr: "10.4.65.1:8260", Zone: "hall-a", State: upstream.Ready, Slots: 24}
	f.list = append(f.list, joined)
	began := false
	for i := range 1200 {
		if i%50 == 0 {
			f.read(f.routers[0], again)
		}
		time.Sleep(10 * time.Millisecond)
		for _, r := range f.routers {
			began = began || r != late && r.catalog.Instances().Get(joined.ID) != nil && r.local.streams.Open(&joined, time.Now())
		}
		require.False(t, began && late.claims("1"), "%d ms after the version joined", 10*i)
	}
	require.True(t, began)
}

// publishTo lets time pass in which the first router reads the list.
func (f *fleetModel) publishTo(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.read(f.routers[0])
	}
}
