package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Story: the keeping of a cell goes away and comes back to the same router, unseen by
// the others. Their reports list running slots by number only. The new keeper must not
// take the upstream for free: it asks, and the Full report tells what runs.
func TestUnknownNumbersAreAskedFor(t *testing.T) {
	b := newSettling(t, engine("u", 1))
	b.claim("q", 1, 5, "b")
	partial := wire.Report{Seq: 1, Base: 7, Progress: []wire.Progress{{Offset: 2, Cost: 40}}}
	state := b.k.Report("r", 1, partial, b.now)
	equal(t, true, state.Unknown)
	b.seq = 1
	state = b.report("r", wire.Report{Running: []wire.Running{{ID: 9, Org: "a", Upstream: "u", Cost: 40}}})
	equal(t, false, state.Unknown)
	b.seq++
	b.report("q", wire.Report{Waiting: []wire.ClaimID{5}})
	equal(t, 0, len(grants(b.next())))
	partial.Seq = b.seq + 1
	equal(t, false, b.k.Report("r", 1, partial, b.now).Unknown)
}

// Progress by number counts as news and is charged; after the end it asks for nothing.
func TestProgressByNumber(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	equal(t, []wire.ClaimID{1}, grants(b.next()))
	for seq := range uint64(20) {
		b.pass(time.Second)
		p := wire.Progress{Cost: wire.Units(seq)}
		state := b.k.Report("r", 1, wire.Report{Seq: seq + 1, Base: 1, Progress: []wire.Progress{p}}, b.now)
		equal(t, false, state.Unknown)
	}
	equal(t, 1, b.k.Slots())
	equal(t, wire.Units(19), b.k.Virtual("a"))
	b.done("r", 1, "u", 30)
	late := wire.Report{Seq: 99, Base: 1, Progress: []wire.Progress{{Cost: 19}}}
	equal(t, false, b.k.Report("r", 1, late, b.now).Unknown)
	equal(t, 0, b.k.Slots())
}
