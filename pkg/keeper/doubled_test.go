package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Story: a frame with a claim arrives twice, once more a second later, and once after the
// request ended. Each copy could take a slot of its own, which nobody would use.
func TestDoubledClaimHoldsOneSlot(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1), engine("v", 1))
	b.claim("r", 1, 1, "a")
	b.claim("r", 1, 1, "a")
	first := b.next()
	equal(t, []wire.ClaimID{1}, grants(first))
	b.pass(time.Second)
	b.claim("r", 1, 1, "a")
	again := b.next()
	equal(t, []wire.ClaimID{1}, grants(again))
	equal(t, first[0].Grant.Upstream, again[0].Grant.Upstream)
	equal(t, 1, b.k.Slots())
	b.done("r", 1, first[0].Grant.Upstream, 10)
	b.done("r", 1, first[0].Grant.Upstream, 10)
	b.claim("r", 1, 1, "a")
	equal(t, 0, len(b.next()))
	equal(t, 0, b.k.Slots()+b.k.Backlog())
	equal(t, wire.Units(10), b.k.Virtual("a"))
}

// Story: a router restarts and claims under the same number as before. Then Done, Cancel
// and a claim of its former life arrive. They would free the slot under running work.
func TestMessagesOfFormerLifeAreIgnored(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 2))
	b.claim("r", 1, 1, "a")
	b.next()
	b.claim("r", 2, 1, "a")
	equal(t, []wire.ClaimID{1}, grants(b.next()))
	b.done("r", 1, "u", 10)
	b.k.Cancel("r", 1, wire.Cancel{ID: 1}, b.now)
	b.claim("r", 1, 2, "a")
	b.report("r", wire.Report{})
	equal(t, 2, b.k.Slots())
	equal(t, 0, b.k.Backlog())
	b.pass(2 * time.Second)
	equal(t, 2, b.k.Slots())
	b.pass(time.Second)
	equal(t, 1, b.k.Slots())
}

// Story: the caller goes away at once, and the Cancel overtakes its claim. The claim
// would be granted to nobody.
func TestCancelOvertakesClaim(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.k.Cancel("r", 1, wire.Cancel{ID: 1}, b.now)
	b.claim("r", 1, 1, "a")
	equal(t, 0, len(b.next()))
}

// Story: a request ends and its Done is lost. A later Full report omits it: the slot is
// free. When the Done comes after all, only the rest of the cost is charged.
func TestLostDone(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.next()
	b.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: 15}}})
	equal(t, wire.Units(15), b.k.Virtual("a"))
	b.report("r", wire.Report{})
	equal(t, 0, b.k.Slots())
	b.done("r", 1, "u", 40)
	equal(t, wire.Units(40), b.k.Virtual("a"))
}

// Story: a report from before a request began overtakes nothing but arrives after the one
// that lists it. It would free the slot under running work.
func TestOlderReportIsIgnored(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.next()
	b.seq = 5
	b.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}})
	b.seq = 3
	b.report("r", wire.Report{})
	equal(t, 1, b.k.Slots())
}

// Story: a caller goes away and the Cancel is lost. The claim would be granted to nobody.
// The router's Full reports don't list it; the second one takes it out, since the first
// may have been sent before the claim.
func TestLostCancel(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("q", 1, 1, "b")
	b.next()
	b.claim("r", 1, 1, "a")
	b.report("r", wire.Report{})
	equal(t, 1, b.k.Backlog())
	b.report("r", wire.Report{})
	equal(t, 0, b.k.Backlog())
}

// Story: a request's deadline passes while all slots are taken by long work. Its claim
// would fill the queue and be granted too late.
func TestClaimExpires(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("q", 1, 1, "b")
	b.next()
	b.k.Claim("r", 1, wire.Claim{ID: 1, Org: "a", WaitMs: 700}, b.now)
	b.k.Claim("r", 1, wire.Claim{ID: 2, Org: "a", WaitMs: 3000}, b.now)
	b.pass(time.Second)
	equal(t, 1, b.k.Backlog())
}

// Story: a report sent before the end of a request arrives after its Done. The ended
// request would hold a slot again and be charged twice.
func TestReportOlderThanDone(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.next()
	b.done("r", 1, "u", 40)
	b.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: 15}}})
	equal(t, 0, b.k.Slots())
	equal(t, wire.Units(40), b.k.Virtual("a"))
}
