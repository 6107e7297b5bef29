package keeper

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// One organisation floods the keeper. Its claims are refused with a retry time, and another
// organisation's single claim is accepted although the keeper is full.
func TestFloodRefusesOnlyTheFlooder(t *testing.T) {
	h := newHarness(t, Options{MaxWaiting: 100}, engine("u", 1))
	for id := range wire.ClaimID(300) {
		h.claim("r", 1, id, "a")
	}
	refused := len(refusals(h.next()))
	equal(t, 200, refused)
	h.claim("r", 1, 300, "a") // in the place of the one that was granted
	equal(t, 100, h.k.Backlog())
	h.claim("q", 1, 1, "b")
	equal(t, 0, len(refusals(h.next())))
	for id := range wire.ClaimID(50) {
		h.advance(100 * time.Millisecond)
		h.done("r", id, "u", 10)
	}
	for id := range wire.ClaimID(100) {
		h.claim("r", 1, 1000+id, "a")
	}
	out := h.next()
	retry := time.Duration(out[0].Refusal.RetryMs) * time.Millisecond
	if retry < time.Second || retry > maxRetry {
		t.Fatalf("retry after %v", retry)
	}
}

// All slices of an upstream add up to its slots, and the totals of two slices differ by at
// most one slot.
func TestSlicesSumUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 12).Draw(t, "slices")
		slots := rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "slots")
		sums := make([]int, parts)
		offset := 0
		for _, n := range slots {
			whole := 0
			for i := range parts {
				part := sliceOf(n, offset, i, parts)
				whole += part
				sums[i] += part
			}
			if whole != n {
				t.Fatalf("parts of %d sum up to %d", n, whole)
			}
			offset += n
		}
		for _, s := range sums {
			if s < offset/parts || s > offset/parts+1 {
				t.Fatalf("sums %v of %d", sums, offset)
			}
		}
	})
}

// Eight routers each keep a slice of every upstream. If the slices added up to less than
// the slots, some would always be idle; with more, requests would queue inside the engines.
func TestSlicesCoverAllSlots(t *testing.T) {
	spare := 0
	for i := range 8 {
		h := newHarness(t, Options{Slice: i, Slices: 8}, engine("u", 3), engine("v", 13), engine("w", 5))
		spare += h.k.Spare(h.now)
	}
	equal(t, 21, spare)
}

// A freed slot is idle until the next grant arrives, and one grant ahead hides that. It
// doesn't count as spare, or routers would move claims to this cell.
func TestGrantAhead(t *testing.T) {
	h := newHarness(t, Options{GrantAhead: 1}, engine("u", 2))
	equal(t, 2, h.k.Spare(h.now))
	for id := range wire.ClaimID(4) {
		h.claim("r", 1, id, "a")
	}
	equal(t, 3, len(grants(h.next())))
}

// With an adaptive limit nothing is granted ahead: the queue inside the engine would look
// like overload, and the limit would shrink far below the slots.
func TestNoGrantAheadOfAnAdaptiveLimit(t *testing.T) {
	u := engine("u", 2)
	u.MaxSlots = 4
	h := newHarness(t, Options{}, u)
	h.k.SetGrantAhead(1)
	for id := range wire.ClaimID(4) {
		h.claim("r", 1, id, "a")
	}
	equal(t, 2, len(grants(h.next())))
}

// A request failed on an upstream and must not run there again. That upstream has the only
// free slot: the request waits and doesn't block others.
func TestExcludedUpstreamIsNotUsed(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 2), engine("v", 1))
	claimExcludingU := func(id wire.ClaimID) {
		h.k.Claim("r", 1, wire.Claim{ID: id, Org: "a", Exclude: []string{"u"}}, h.now)
	}
	claimExcludingU(1)
	claimExcludingU(2)
	equal(t, "v", h.next()[0].Grant.Upstream)
	h.claim("q", 1, 3, "b")
	equal(t, []wire.ClaimID{3}, grants(h.next()))
	equal(t, 1, h.k.Backlog())
}

// Two prompts share a long prefix, and the second is fast on the upstream that has it
// cached. When that upstream is full, waiting for it would leave a slot of another one
// idle.
func TestPrefixGoesWhereItRanUnlessFull(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 2), engine("v", 8))
	claim := func(id wire.ClaimID) string {
		h.k.Claim("r", 1, wire.Claim{ID: id, Org: "a", Prefix: 77, Exclude: []string{"v"}}, h.now)
		return h.next()[0].Grant.Upstream
	}
	equal(t, "u", claim(1))
	h.k.Claim("r", 1, wire.Claim{ID: 2, Org: "a", Prefix: 77}, h.now)
	equal(t, "u", h.next()[0].Grant.Upstream)
	h.k.Claim("r", 1, wire.Claim{ID: 3, Org: "a", Prefix: 77}, h.now)
	equal(t, "v", h.next()[0].Grant.Upstream)
}

// An organisation's long requests have filled all slots when another's urgent request
// comes. With a reserved slot it starts at once. Organisations over their share can't use
// the reserve.
func TestReserveIsForUrgentWithinShare(t *testing.T) {
	h := newHarness(t, Options{UrgentReserve: 1}, engine("u", 4))
	for id := range wire.ClaimID(6) {
		h.k.Claim("r", 1, wire.Claim{ID: id, Org: "a", Class: wire.ClassNormal}, h.now)
	}
	equal(t, 3, len(grants(h.next())))
	h.k.Claim("q", 1, wire.Claim{ID: 1, Org: "b", Class: wire.ClassNormal}, h.now)
	equal(t, 0, len(h.next()))
	h.k.Claim("q", 1, wire.Claim{ID: 2, Org: "b", Class: wire.ClassUrgent}, h.now)
	equal(t, []wire.ClaimID{2}, grants(h.next()))
	h.done("q", 2, "u", 1)
	h.advance(time.Second)
	h.k.Claim("r", 1, wire.Claim{ID: 20, Org: "a", Class: wire.ClassUrgent}, h.now)
	h.claim("q", 1, 3, "b")
	equal(t, []wire.ClaimID{3}, grants(h.next()))
}

// A request costs more than the expected cost. If it were charged only at its end, its
// organisation would get further slots meanwhile as if it had received little.
func TestChargesAsServiceIsDelivered(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.next()
	for _, cost := range []wire.Units{5, 40, 70, 60} {
		h.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: cost}}})
	}
	equal(t, wire.Units(70), h.k.Virtual("a"))
	h.done("r", 1, "u", 100)
	equal(t, wire.Units(100), h.k.Virtual("a"))
}

// An upstream crashes under two requests. It gets no work until its backoff ends, then one
// probe although two claims wait; the end of the probe opens it again.
func TestCrashedUpstreamIsProbed(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 2))
	for id := range wire.ClaimID(4) {
		h.claim("r", 1, id, "a")
	}
	h.next()
	for id := range wire.ClaimID(2) {
		h.k.Done("r", 1, wire.Done{ID: id, Upstream: "u", Outcome: wire.OutcomeDied}, h.now)
	}
	equal(t, 0, len(h.advance(400*time.Millisecond)))
	equal(t, []wire.ClaimID{2}, grants(h.advance(200*time.Millisecond)))
	h.done("r", 2, "u", 1)
	equal(t, []wire.ClaimID{3}, grants(h.next()))
}

// Guards against reports of unfair shares for organisations that had no waiting claims.
func TestGrantCountsUncontended(t *testing.T) {
	h := newHarness(t, Options{}, engine("e1", 2))
	h.claim("r", 1, 1, "a")
	h.next()
	equal(t, GrantCounts{All: 1, Uncontended: 1}, h.k.TakeGrantCounts())
	h.claim("r", 1, 2, "a")
	h.claim("r", 1, 3, "b")
	h.next()
	equal(t, GrantCounts{All: 1}, h.k.TakeGrantCounts())
	equal(t, GrantCounts{}, h.k.TakeGrantCounts())
}
