package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A router loses a cell and gets it back without the others' noticing. Their partial
// reports list running slots by claim ID only. The new keeper must not consider the
// upstream free: it requests a Full report, which lists what runs.
func TestUnknownClaimIDsRequestFullReport(t *testing.T) {
	h := newTakeover(t, engine("u", 1))
	h.claim("q", 1, 5, "b")
	partial := wire.Report{Seq: 1, Base: 7, Progress: []wire.Progress{{Offset: 2, Cost: 40}}}
	state := h.k.Report("r", 1, partial, h.now)
	equal(t, true, state.Unknown)
	h.seq = 1
	state = h.report("r", wire.Report{Running: []wire.Running{{ID: 9, Org: "a", Upstream: "u", Cost: 40}}})
	equal(t, false, state.Unknown)
	h.seq++
	h.report("q", wire.Report{Waiting: []wire.ClaimID{5}})
	equal(t, 0, len(grants(h.next())))
	partial.Seq = h.seq + 1
	equal(t, false, h.k.Report("r", 1, partial, h.now).Unknown)
}

// Progress by claim ID confirms a slot and is charged. After the request ended it doesn't
// cause a request for a Full report.
func TestProgressByClaimID(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	equal(t, []wire.ClaimID{1}, grants(h.next()))
	for seq := range uint64(20) {
		h.advance(time.Second)
		p := wire.Progress{Cost: wire.Units(seq)}
		state := h.k.Report("r", 1, wire.Report{Seq: seq + 1, Base: 1, Progress: []wire.Progress{p}}, h.now)
		equal(t, false, state.Unknown)
	}
	equal(t, 1, h.k.Slots())
	equal(t, wire.Units(19), h.k.Virtual("a"))
	h.done("r", 1, "u", 30)
	late := wire.Report{Seq: 99, Base: 1, Progress: []wire.Progress{{Cost: 19}}}
	equal(t, false, h.k.Report("r", 1, late, h.now).Unknown)
	equal(t, 0, h.k.Slots())
}
