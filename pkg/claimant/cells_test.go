package claimant

import (
	"slices"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Slots would idle in one cell while requests wait in another: a waiting claim moves
// to a cell that reports spare slots, the oldest first, but not before it has stayed a
// while, and its old cell's late grant goes back.
func TestWaitingClaimMovesToSpareSlots(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		old := f.claim("k1")
		f.addCellB()
		pass(1100 * time.Millisecond)
		probes := f.take("k2").Reports
		check(t, len(probes) != 0, "the other cell was never asked")
		f.take("k1")
		f.acquire(t.Context(), request("acme"))
		f.acquire(t.Context(), request("acme"))
		f.take("k1")
		f.take("k2")
		f.claimant.HandleState("k2", wire.CellState{Cell: cellB, Seq: probes[len(probes)-1].Seq, Spare: 4})
		moved := f.claim("k2")
		check(t, moved.Cell == cellB && moved.ID != old.ID && moved.AgeMs >= 1000, "claim %+v", moved)
		if c := f.take("k1").Cancels; len(c) != 1 || c[0].ID != old.ID {
			t.Fatalf("cancels %+v", c)
		}
		f.grant("k1", old, "u1", 0)
		f.done("k1", old.ID, wire.OutcomeUnused)
		f.grant("k2", moved, "u2", 0)
		mustSlot(t, done)
	})
}

// A slot would stay taken for ever: the frame with the last Done is lost and the
// router has nothing else in the cell to report. Full reports go on until the keeper
// has answered one, and stop then.
func TestReportsGoOnUntilTheEndIsKnown(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		mustSlot(t, done).Done(wire.OutcomeServed, 5, 0, 0)
		f.take("k1") // lost
		pass(3 * time.Second)
		reports := f.take("k1").Reports
		check(t, len(reports) >= 5, "%d reports in 3 s", len(reports))
		last := reports[len(reports)-1]
		check(t, last.Full && len(last.Running) == 0, "report %+v", last)
		f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: last.Seq})
		pass(10 * time.Second)
		if r := f.take("k1").Reports; len(r) != 0 {
			t.Fatalf("%d reports with nothing to say", len(r))
		}
	})
}

// A pool's cells are cut anew and one is gone, or its keeper is: its waiting claims
// must not wait there for ever.
func TestClaimsLeaveACellWithoutKeeper(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.claim("k1")
		f.addCellB()
		f.mu.Lock()
		delete(f.keepers, cellA)
		f.mu.Unlock()
		f.claimant.KeepersChanged()
		f.grant("k2", f.claim("k2"), "u2", 0)
		mustSlot(t, done)
	})
}

func TestReportsCountServiceElsewhere(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		f.addCellB()
		first := f.acquire(t.Context(), request("acme"))
		a := f.claim("k1")
		second := f.acquire(t.Context(), request("acme"))
		b := f.claim("k2")
		pass(100 * time.Millisecond)
		for _, r := range f.take("k1").Reports {
			f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: r.Seq})
		}
		f.acquire(t.Context(), request("new"))
		pass(500 * time.Millisecond)
		orgs := f.take("k1").Reports[0].Orgs
		check(t, slices.Equal(orgs, []wire.OrgCounter{{Org: "new"}}), "no starting point for a counter: %+v", orgs)
		f.take("k2")
		f.grant("k1", a, "u1", 0)
		f.grant("k2", b, "u2", 0)
		sa, sb := mustSlot(t, first), mustSlot(t, second)
		check(t, sa.Start() && sb.Start(), "not started")
		sa.Progress(30)
		sa.Progress(20) // never falls
		sb.Progress(4)
		pass(1100 * time.Millisecond)
		check(t, elsewhere(f.take("k1")) == 4, "k1 doesn't know the 4 units of k2")
		check(t, elsewhere(f.take("k2")) == 30, "k2 doesn't know the 30 units of k1")
		pass(5 * time.Second) // the frames above may have been lost: a full report tells it again
		check(t, elsewhere(f.take("k1")) == 4, "no full report tells the counters again")
	})
}

// elsewhere is the last word on acme's service through other cells.
func elsewhere(f wire.Frame) wire.Units {
	var last wire.Units
	for _, r := range f.Reports {
		for _, o := range r.Orgs {
			if o.Org == "acme" {
				last = o.Elsewhere
			}
		}
	}
	return last
}

// A router restarts and a grant for its earlier life arrives. It must not match a
// claim of the new life: that may be another organisation's.
func TestClaimIDsOfTwoIncarnationsDiffer(t *testing.T) {
	a, b := firstID(7), firstID(8)
	check(t, b-a >= 1<<20, "IDs start at %d and %d", a, b)
}

// A pool of many cells is quiet, and this router keeps one of them. Each claim sent to
// another router costs control bytes on both sides; its own cell costs none. With a
// backlog there and spare slots elsewhere, though, the spare slots must win, or
// capacity would idle while work waits.
func TestAQuietOwnCellGoesFirst(t *testing.T) {
	run(t, Options{Self: "k2"}, func(t *testing.T, f *fleet) {
		f.addCellB()
		f.acquire(t.Context(), request("acme"))
		own := f.claim("k2")
		f.claimant.HandleState("k2", wire.CellState{Cell: cellB, Seq: 1, Backlog: 3})
		f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: 1, Spare: 2})
		f.acquire(t.Context(), request("acme"))
		check(t, own.Cell == cellB, "the first claim went to %s", own.Cell)
		check(t, f.claim("k1").Cell == cellA, "the second claim didn't go to the spare slots")
	})
}
