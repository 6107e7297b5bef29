package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func newTakeover(t *testing.T, ups ...resource.Upstream) *harness {
	h := &harness{t: t, k: New(Options{}, []wire.RouterID{"r", "q"}, startTime), now: startTime}
	h.k.Configure(ups, map[string]float64{"a": 1, "b": 1, "c": 1}, startTime)
	return h
}

// A new keeper takes over a cell without any state. Granting at once would overload full
// upstreams, and serve an organisation that is far over its share. The keeper waits for
// both routers, adopts what runs, asks for the claims, and continues from the largest
// counters.
func TestTakeOver(t *testing.T) {
	h := newTakeover(t, engine("u", 2))
	h.claim("q", 1, 5, "a")
	h.claim("q", 1, 6, "b")
	equal(t, 0, len(h.next()))
	state := h.report("r", wire.Report{
		Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: 30}},
		Waiting: []wire.ClaimID{2},
		Orgs:    []wire.OrgCounter{{Org: "a", Virtual: 900, Elsewhere: 5000}, {Org: "b", Virtual: 100}},
	})
	equal(t, []wire.ClaimID{2}, state.Resend)
	equal(t, 0, len(h.next()))
	h.report("q", wire.Report{
		Waiting: []wire.ClaimID{5, 6},
		Orgs:    []wire.OrgCounter{{Org: "a", Virtual: 700}, {Org: "b", Virtual: 300}},
	})
	equal(t, wire.Units(900), h.k.Virtual("a"))
	equal(t, []wire.ClaimID{6}, grants(h.next()))
	equal(t, wire.Units(300), h.k.Virtual("b"))
	equal(t, wire.Units(initialMeanCost), h.k.order.Expected("b"))
	equal(t, initialMeanCost-30, h.k.order.Expected("a"))
}

// One router has nothing in the cell and sends nothing. The cell isn't idle because of it
// for longer than the news of the keeper's change may take.
func TestTakeOverWithoutIdleRouter(t *testing.T) {
	h := newTakeover(t, engine("u", 2))
	h.claim("r", 1, 5, "a")
	h.report("r", wire.Report{Waiting: []wire.ClaimID{5}})
	equal(t, 0, len(h.advance(200*time.Millisecond)))
	equal(t, []wire.ClaimID{5}, grants(h.advance(100*time.Millisecond)))
}

// The other router is known to have work in the cell, and its report is delayed or lost.
// The keeper waits to learn what runs there, but an unreachable router must not stop the
// cell.
func TestTakeOverWithoutOneReport(t *testing.T) {
	h := newTakeover(t, engine("u", 2))
	h.claim("q", 1, 6, "b")
	h.claim("r", 1, 5, "a")
	h.report("r", wire.Report{Waiting: []wire.ClaimID{5}})
	equal(t, 0, len(h.advance(900*time.Millisecond)))
	equal(t, 2, len(grants(h.advance(100*time.Millisecond))))
}

// Two routers both believe that they keep the cell, and both grant one claim, on different
// upstreams. The router runs the first grant and returns the other, and its report says
// where the claim runs. The slot must be counted there, and once.
func TestTwoKeepers(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1), engine("v", 1))
	h.claim("r", 1, 1, "a")
	out := h.next()
	other := map[string]string{"u": "v", "v": "u"}[out[0].Grant.Upstream]
	running := wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: other, Cost: 1}}}
	h.report("r", running)
	h.k.Done("r", 1, wire.Done{ID: 1, Upstream: out[0].Grant.Upstream, Outcome: wire.OutcomeUnused}, h.now)
	h.claim("q", 1, 2, "b")
	h.claim("q", 1, 3, "b")
	second := h.next()
	equal(t, []wire.ClaimID{2}, grants(second))
	equal(t, out[0].Grant.Upstream, second[0].Grant.Upstream)
	equal(t, 2, h.k.Slots())
}

// Two keepers chose the same upstream for a claim, and the Done that returns this keeper's
// grant unused arrives first. The request runs there all the same.
func TestTwoKeepersSameUpstream(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.next()
	h.k.Done("r", 1, wire.Done{ID: 1, Upstream: "u", Outcome: wire.OutcomeUnused}, h.now)
	h.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: 1}}})
	h.claim("q", 1, 2, "b")
	equal(t, 0, len(h.next()))
}

// Service through other cells is reported as a growing counter, in reports that are
// duplicated and reordered. The first value that a new keeper sees isn't charged; a
// restarted router counts from 0 again.
func TestElsewhereIsChargedOnce(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	send := func(inc wire.Incarnation, seq uint64, v wire.Units) {
		h.k.Report("r", inc, wire.Report{Seq: seq, Orgs: []wire.OrgCounter{{Org: "a", Elsewhere: v, Virtual: 1e6}}}, h.now)
	}
	send(1, 1, 5000)
	equal(t, wire.Units(0), h.k.Virtual("a"))
	send(1, 3, 5300)
	send(1, 3, 5300)
	send(1, 2, 5100)
	equal(t, wire.Units(300), h.k.Virtual("a"))
	send(1, 4, 10) // a falling counter is an error and gives no credit
	equal(t, wire.Units(300), h.k.Virtual("a"))
	send(2, 1, 40)
	equal(t, wire.Units(340), h.k.Virtual("a"))
}

// An upstream leaves while a grant for it is on its way; the router sees the mark and
// doesn't start. After the grant expires, the claim moves to another upstream without
// further action.
func TestGrantOnLeavingUpstreamMoves(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1), engine("v", 1))
	h.claim("r", 1, 1, "a")
	leaving := h.next()[0].Grant.Upstream
	h.k.Mark(wire.UpstreamMark{Upstream: leaving, Generation: 1, Leaving: true}, h.now)
	var out []Message
	for range 6 {
		out = append(out, h.advance(500*time.Millisecond)...)
		h.report("r", wire.Report{Waiting: []wire.ClaimID{1}})
	}
	out = append(out, h.next()...)
	equal(t, false, len(out) == 0)
	for _, o := range out { // the grant and its copies
		equal(t, false, o.Grant.Upstream == leaving)
	}
	equal(t, 1, h.k.Slots())
}
