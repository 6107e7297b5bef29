package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func newSettling(t *testing.T, ups ...resource.Upstream) *bed {
	b := &bed{t: t, k: New(Options{}, []wire.RouterID{"r", "q"}, epoch), now: epoch}
	b.k.Configure(ups, map[string]float64{"a": 1, "b": 1, "c": 1}, epoch)
	return b
}

// Story: the keeper dies and another takes the cell over. It knows nothing: granting at
// once would fill upstreams that are full, and serve an organisation that had far more
// than its share. It waits for both routers, takes over what runs, asks for the claims,
// and goes on from the largest counters.
func TestTakeOver(t *testing.T) {
	b := newSettling(t, engine("u", 2))
	b.claim("q", 1, 5, "a")
	b.claim("q", 1, 6, "b")
	equal(t, 0, len(b.next()))
	state := b.report("r", wire.Report{
		Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: 30}},
		Waiting: []wire.ClaimID{2},
		Orgs:    []wire.OrgCounter{{Org: "a", Virtual: 900, Elsewhere: 5000}, {Org: "b", Virtual: 100}},
	})
	equal(t, []wire.ClaimID{2}, state.Resend)
	equal(t, 0, len(b.next()))
	b.report("q", wire.Report{
		Waiting: []wire.ClaimID{5, 6},
		Orgs:    []wire.OrgCounter{{Org: "a", Virtual: 700}, {Org: "b", Virtual: 300}},
	})
	equal(t, wire.Units(900), b.k.Virtual("a"))
	equal(t, []wire.ClaimID{6}, grants(b.next()))
	equal(t, wire.Units(300), b.k.Virtual("b"))
	equal(t, wire.Units(firstMean), b.k.order.Expected("b"))
	equal(t, firstMean-30, b.k.order.Expected("a"))
}

// Story: as before, but one router has nothing in the cell and sends nothing. The cell
// doesn't idle for it longer than news of the keeper's change may take.
func TestTakeOverWithoutQuietRouter(t *testing.T) {
	b := newSettling(t, engine("u", 2))
	b.claim("r", 1, 5, "a")
	b.report("r", wire.Report{Waiting: []wire.ClaimID{5}})
	equal(t, 0, len(b.pass(200*time.Millisecond)))
	equal(t, []wire.ClaimID{5}, grants(b.pass(100*time.Millisecond)))
}

// Story: as before, but the other router is known to have work in the cell, and its report
// is late or lost. What runs there must be learnt first; but a router that can't be heard
// must not stop the cell.
func TestTakeOverWithoutOneReport(t *testing.T) {
	b := newSettling(t, engine("u", 2))
	b.claim("q", 1, 6, "b")
	b.claim("r", 1, 5, "a")
	b.report("r", wire.Report{Waiting: []wire.ClaimID{5}})
	equal(t, 0, len(b.pass(900*time.Millisecond)))
	equal(t, 2, len(grants(b.pass(100*time.Millisecond))))
}

// Story: two routers think that they keep the cell, and both grant one claim, on
// different upstreams. The router runs the first and turns the other down, and its
// report says where it runs. The slot must be counted there, and once.
func TestTwoKeepers(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1), engine("v", 1))
	b.claim("r", 1, 1, "a")
	out := b.next()
	other := map[string]string{"u": "v", "v": "u"}[out[0].Grant.Upstream]
	running := wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: other, Cost: 1}}}
	b.report("r", running)
	b.k.Done("r", 1, wire.Done{ID: 1, Upstream: out[0].Grant.Upstream, Outcome: wire.OutcomeUnused}, b.now)
	b.claim("q", 1, 2, "b")
	b.claim("q", 1, 3, "b")
	second := b.next()
	equal(t, []wire.ClaimID{2}, grants(second))
	equal(t, out[0].Grant.Upstream, second[0].Grant.Upstream)
	equal(t, 2, b.k.Slots())
}

// Story: as before, but both keepers chose the same upstream, and the word that this
// keeper's grant went unused comes first. The request runs there all the same.
func TestTwoKeepersSameUpstream(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.next()
	b.k.Done("r", 1, wire.Done{ID: 1, Upstream: "u", Outcome: wire.OutcomeUnused}, b.now)
	b.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: 1}}})
	b.claim("q", 1, 2, "b")
	equal(t, 0, len(b.next()))
}

// Story: service through other cells is reported as a growing number, in reports that
// are doubled and reordered. What a new keeper sees first is history and not charged; a
// restarted router counts from 0 again.
func TestElsewhereIsChargedOnce(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	send := func(inc wire.Incarnation, seq uint64, v wire.Units) {
		b.k.Report("r", inc, wire.Report{Seq: seq, Orgs: []wire.OrgCounter{{Org: "a", Elsewhere: v, Virtual: 1e6}}}, b.now)
	}
	send(1, 1, 5000)
	equal(t, wire.Units(0), b.k.Virtual("a"))
	send(1, 3, 5300)
	send(1, 3, 5300)
	send(1, 2, 5100)
	equal(t, wire.Units(300), b.k.Virtual("a"))
	send(1, 4, 10) // a counter that falls is wrong, and no credit
	equal(t, wire.Units(300), b.k.Virtual("a"))
	send(2, 1, 40)
	equal(t, wire.Units(340), b.k.Virtual("a"))
}

// Story: an upstream leaves while a grant for it is on its way; the router sees the mark
// and doesn't start. After the lapse the claim goes to another upstream by itself.
func TestGrantOnLeavingUpstreamMoves(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1), engine("v", 1))
	b.claim("r", 1, 1, "a")
	left := b.next()[0].Grant.Upstream
	b.k.Mark(wire.UpstreamMark{Upstream: left, Generation: 1, Leaving: true}, b.now)
	var out []Out
	for range 6 {
		out = append(out, b.pass(500*time.Millisecond)...)
		b.report("r", wire.Report{Waiting: []wire.ClaimID{1}})
	}
	out = append(out, b.next()...)
	equal(t, false, len(out) == 0)
	for _, o := range out { // the grant and copies of it
		equal(t, false, o.Grant.Upstream == left)
	}
	equal(t, 1, b.k.Slots())
}
