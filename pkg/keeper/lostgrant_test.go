package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A grant is lost. The request must not wait until its deadline while the slot is idle: the
// router's report still lists the claim as waiting, and the keeper sends the same grant
// again.
func TestLostGrantIsResent(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 7, "a")
	first := h.next()
	h.advance(500 * time.Millisecond)
	h.report("r", wire.Report{Waiting: []wire.ClaimID{7}})
	again := h.next()
	equal(t, []wire.ClaimID{7}, grants(again))
	equal(t, first[0].Grant.Upstream, again[0].Grant.Upstream)
	equal(t, h.seq, again[0].Grant.EchoSeq)
	equal(t, 1, h.k.Slots())
}

// A grant and the Cancel of its claim are both lost, and the router has nothing else in the
// cell. The slot must not leak. The report that omits the claim frees it, but not before
// the router can't start the grant any more.
func TestLostGrantOfCancelledClaimIsFreedAfterTTL(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 7, "a")
	h.claim("q", 1, 8, "b")
	equal(t, []wire.ClaimID{7}, grants(h.next()))
	h.advance(500 * time.Millisecond)
	h.report("r", wire.Report{})
	equal(t, 0, len(h.advance(1900*time.Millisecond)))
	equal(t, []wire.ClaimID{8}, grants(h.advance(300*time.Millisecond)))
	equal(t, wire.Units(0), h.k.Virtual("a"))
}

// The last upstream of a cell leaves while a request waits. The claim is refused, so that
// the router can try another cell instead of waiting until the deadline.
func TestLeavingUpstreamRefusesWaiting(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.claim("r", 1, 2, "a")
	h.next()
	h.k.Mark(wire.UpstreamMark{Upstream: "u", Generation: 2, Leaving: true}, h.now)
	h.k.Mark(wire.UpstreamMark{Upstream: "u", Generation: 1}, h.now)
	equal(t, []wire.RefusalReason{wire.RefusedNoUpstream}, refusals(h.next()))
	h.done("r", 1, "u", 10)
	h.claim("r", 1, 3, "a")
	out := h.next()
	equal(t, 0, len(grants(out)))
	equal(t, []wire.RefusalReason{wire.RefusedNoUpstream}, refusals(out))
}

// A grant is lost, and the router sends partial reports, as most reports are. The slot must
// not stay idle until the next Full report, which is seconds later.
func TestLostGrantIsResentAfterPartialReport(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 7, "a")
	h.next()
	h.advance(500 * time.Millisecond)
	h.k.Report("r", 1, wire.Report{Seq: 1}, h.now)
	equal(t, []wire.ClaimID{7}, grants(h.next()))
	equal(t, 1, h.k.Slots())
}
