package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A frame with a claim arrives twice, again a second later, and once more after the request
// ended. A copy must not take another slot, which nobody would use.
func TestDuplicateClaimHoldsOneSlot(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1), engine("v", 1))
	h.claim("r", 1, 1, "a")
	h.claim("r", 1, 1, "a")
	first := h.next()
	equal(t, []wire.ClaimID{1}, grants(first))
	h.advance(time.Second)
	h.claim("r", 1, 1, "a")
	again := h.next()
	equal(t, []wire.ClaimID{1}, grants(again))
	equal(t, first[0].Grant.Upstream, again[0].Grant.Upstream)
	equal(t, 1, h.k.Slots())
	h.done("r", 1, first[0].Grant.Upstream, 10)
	h.done("r", 1, first[0].Grant.Upstream, 10)
	h.claim("r", 1, 1, "a")
	equal(t, 0, len(h.next()))
	equal(t, 0, h.k.Slots()+h.k.Backlog())
	equal(t, wire.Units(10), h.k.Virtual("a"))
}

// A router restarts and reuses a claim ID. Then a Done, a Cancel and a claim of its earlier
// incarnation arrive. They must not free the slot of a running request.
func TestMessagesOfEarlierIncarnationAreIgnored(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 2))
	h.claim("r", 1, 1, "a")
	h.next()
	h.claim("r", 2, 1, "a")
	equal(t, []wire.ClaimID{1}, grants(h.next()))
	h.done("r", 1, "u", 10)
	h.k.Cancel("r", 1, wire.Cancel{ID: 1}, h.now)
	h.claim("r", 1, 2, "a")
	h.report("r", wire.Report{})
	equal(t, 2, h.k.Slots())
	equal(t, 0, h.k.Backlog())
	h.advance(2 * time.Second)
	equal(t, 2, h.k.Slots())
	h.advance(time.Second)
	equal(t, 1, h.k.Slots())
}

// The caller leaves at once, and the Cancel overtakes its claim. A grant would be unused.
func TestCancelOvertakesClaim(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.k.Cancel("r", 1, wire.Cancel{ID: 1}, h.now)
	h.claim("r", 1, 1, "a")
	equal(t, 0, len(h.next()))
}

// A request ends and its Done is lost. The next Full report omits it, which frees the slot.
// If the Done arrives later, only the rest of the cost is charged.
func TestLostDone(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.next()
	h.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: 15}}})
	equal(t, wire.Units(15), h.k.Virtual("a"))
	h.report("r", wire.Report{})
	equal(t, 0, h.k.Slots())
	h.done("r", 1, "u", 40)
	equal(t, wire.Units(40), h.k.Virtual("a"))
}

// A report sent before a request began arrives after the report that lists it. It must not
// free the slot of the running request.
func TestOlderReportIsIgnored(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.next()
	h.seq = 5
	h.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}})
	h.seq = 3
	h.report("r", wire.Report{})
	equal(t, 1, h.k.Slots())
}

// A caller leaves and the Cancel is lost, so a grant would be unused. The router's Full
// reports omit the claim; the second one removes it, since the first may have been sent
// before the claim.
func TestLostCancel(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("q", 1, 1, "b")
	h.next()
	h.claim("r", 1, 1, "a")
	h.report("r", wire.Report{})
	equal(t, 1, h.k.Backlog())
	h.report("r", wire.Report{})
	equal(t, 0, h.k.Backlog())
}

// A request's deadline passes while long requests hold all slots. Its claim must not stay
// in the queue and be granted too late.
func TestClaimExpires(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("q", 1, 1, "b")
	h.next()
	h.k.Claim("r", 1, wire.Claim{ID: 1, Org: "a", WaitMs: 700}, h.now)
	h.k.Claim("r", 1, wire.Claim{ID: 2, Org: "a", WaitMs: 3000}, h.now)
	h.advance(time.Second)
	equal(t, 1, h.k.Backlog())
}

// A report sent before a request ended arrives after its Done. The ended request must not
// hold a slot again or be charged twice.
func TestReportOlderThanDone(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.next()
	h.done("r", 1, "u", 40)
	h.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: 15}}})
	equal(t, 0, h.k.Slots())
	equal(t, wire.Units(40), h.k.Virtual("a"))
}
