package claimant

import (
	"slices"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A waiting claim must not stay in one cell while slots are free in another. It moves to a
// cell that reports spare slots, the oldest claim first, but only after a minimum stay, and
// a late grant from its old cell is returned.
func TestWaitingClaimMovesToSpareSlots(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		old := f.claim("k1")
		f.addCellB()
		advance(1100 * time.Millisecond)
		probes := f.take("k2").Reports
		check(t, len(probes) != 0, "no report went to the other cell")
		f.take("k1")
		f.acquire(t.Context(), request("acme"))
		f.acquire(t.Context(), request("acme"))
		f.take("k1")
		f.take("k2")
		f.claimant.HandleState("k2", wire.CellState{Cell: cellB, Seq: probes[len(probes)-1].Seq, Spare: 4})
		moved := f.claim("k2")
		check(t, moved.Cell == cellB && moved.ID != old.ID && moved.AgeMs >= 1000, "claim %+v, want a new one for cell B with its age", moved)
		if c := f.take("k1").Cancels; len(c) != 1 || c[0].ID != old.ID {
			t.Fatalf("cancels %+v, want one of the old claim", c)
		}
		f.grant("k1", old, "u1", 0)
		f.done("k1", old.ID, wire.OutcomeUnused)
		f.grant("k2", moved, "u2", 0)
		mustSlot(t, done)
	})
}

// The frame with the last Done is lost and the router has nothing else to report in the
// cell, so the keeper would hold the slot for ever. Full reports must continue until the
// keeper has answered one, and then stop.
func TestReportsGoOnUntilTheEndIsKnown(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		mustSlot(t, done).Done(wire.OutcomeServed, 5, 0, 0)
		f.take("k1") // lost
		advance(3 * time.Second)
		reports := f.take("k1").Reports
		check(t, len(reports) >= 5, "%d reports in 3 s, want at least 5", len(reports))
		last := reports[len(reports)-1]
		check(t, last.Full && len(last.Running) == 0, "report %+v, want a full one without running slots", last)
		f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: last.Seq})
		advance(10 * time.Second)
		if r := f.take("k1").Reports; len(r) != 0 {
			t.Fatalf("%d reports after the release was confirmed", len(r))
		}
	})
}

// A pool's cells are divided anew and one disappears, or its keeper does. Its waiting
// claims must move to another cell.
func TestClaimsLeaveACellWithoutKeeper(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
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
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		f.addCellB()
		first := f.acquire(t.Context(), request("acme"))
		a := f.claim("k1")
		second := f.acquire(t.Context(), request("acme"))
		b := f.claim("k2")
		advance(100 * time.Millisecond)
		for _, r := range f.take("k1").Reports {
			f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: r.Seq})
		}
		f.acquire(t.Context(), request("new"))
		advance(500 * time.Millisecond)
		orgs := f.take("k1").Reports[0].Orgs
		check(t, slices.Equal(orgs, []wire.OrgCounter{{Org: "new"}}), "no initial value of a counter: %+v", orgs)
		f.take("k2")
		f.grant("k1", a, "u1", 0)
		f.grant("k2", b, "u2", 0)
		sa, sb := mustSlot(t, first), mustSlot(t, second)
		check(t, sa.Start() && sb.Start(), "a slot can't be started")
		sa.Progress(30)
		sa.Progress(20) // must not lower the progress
		sb.Progress(4)
		advance(1100 * time.Millisecond)
		check(t, elsewhere(f.take("k1")) == 4, "k1 wasn't told of the 4 units in the cell of k2")
		check(t, elsewhere(f.take("k2")) == 30, "k2 wasn't told of the 30 units in the cell of k1")
		advance(5 * time.Second) // the frames above may have been lost: a full report repeats the counters
		check(t, elsewhere(f.take("k1")) == 4, "no full report repeats the counters")
	})
}

// elsewhere is the last reported service of acme through other cells.
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

// A router restarts and receives a grant for a claim of its earlier incarnation. The grant
// must not match a new claim, which may belong to another organisation.
func TestClaimIDsOfTwoIncarnationsDiffer(t *testing.T) {
	a, b := firstID(7), firstID(8)
	check(t, b-a >= 1<<20, "IDs start at %d and %d, want 2^20 between them", a, b)
}

// A pool of many cells is idle, and this router keeps one of them. A claim to another
// router costs control bytes on both sides; one to the router's own cell costs none. When
// the own cell has a backlog and another has spare slots, the spare slots must win, or
// capacity would idle while claims wait.
func TestAQuietOwnCellGoesFirst(t *testing.T) {
	run(t, Options{Self: "k2"}, func(t *testing.T, f *fakeFleet) {
		f.addCellB()
		f.acquire(t.Context(), request("acme"))
		own := f.claim("k2")
		f.claimant.HandleState("k2", wire.CellState{Cell: cellB, Seq: 1, Backlog: 3})
		f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: 1, Spare: 2})
		f.acquire(t.Context(), request("acme"))
		check(t, own.Cell == cellB, "the first claim went to %s, want the router's own cell", own.Cell)
		check(t, f.claim("k1").Cell == cellA, "the second claim didn't go to the spare slots")
	})
}
