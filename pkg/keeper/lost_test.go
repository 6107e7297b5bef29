package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Story: a grant is lost on its way. The user's request would wait until its deadline
// while the slot stands idle. The router's report lists the claim as waiting still, and
// the keeper offers the same slot again.
func TestLostGrantIsOfferedAgain(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 7, "a")
	first := b.next()
	b.pass(500 * time.Millisecond)
	b.report("r", wire.Report{Waiting: []wire.ClaimID{7}})
	again := b.next()
	equal(t, []wire.ClaimID{7}, grants(again))
	equal(t, first[0].Grant.Upstream, again[0].Grant.Upstream)
	equal(t, b.seq, again[0].Grant.EchoSeq)
	equal(t, 1, b.k.Slots())
}

// Story: a grant and the claim's cancellation are both lost, and the router has nothing
// else in the cell. Unless the slot comes back it is lost for ever. It comes back by the
// report that omits it, but not before the router can't start the grant any more.
func TestLostGrantOfGoneClaimFreesAfterLapse(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 7, "a")
	b.claim("q", 1, 8, "b")
	equal(t, []wire.ClaimID{7}, grants(b.next()))
	b.pass(500 * time.Millisecond)
	b.report("r", wire.Report{})
	equal(t, 0, len(b.pass(1900*time.Millisecond)))
	equal(t, []wire.ClaimID{8}, grants(b.pass(300*time.Millisecond)))
	equal(t, wire.Units(0), b.k.Virtual("a"))
}

// Story: the last upstream of a cell leaves while a request waits. Nobody would tell the
// user until the deadline. The claim is refused, so the router can try another cell.
func TestLeavingUpstreamRefusesWaiting(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.claim("r", 1, 2, "a")
	b.next()
	b.k.Mark(wire.UpstreamMark{Upstream: "u", Generation: 2, Leaving: true}, b.now)
	b.k.Mark(wire.UpstreamMark{Upstream: "u", Generation: 1}, b.now)
	equal(t, []wire.RefusalReason{wire.RefusedNoUpstream}, refusals(b.next()))
	b.done("r", 1, "u", 10)
	b.claim("r", 1, 3, "a")
	out := b.next()
	equal(t, 0, len(grants(out)))
	equal(t, []wire.RefusalReason{wire.RefusedNoUpstream}, refusals(out))
}

// Story: a grant is lost, and the router's reports list only what changed, as most do. The
// slot would stay idle until the next Full report, seconds later.
func TestLostGrantIsRepeatedOnPartialReports(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 7, "a")
	b.next()
	b.pass(500 * time.Millisecond)
	b.k.Report("r", 1, wire.Report{Seq: 1}, b.now)
	equal(t, []wire.ClaimID{7}, grants(b.next()))
	equal(t, 1, b.k.Slots())
}
