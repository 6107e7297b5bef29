package claimant

import (
	"slices"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A request would wait until its deadline beside free slots: the frame with its claim
// is lost. The claim must be sent again until the keeper is known to have it, and
// again when the keeper says that it doesn't.
func TestLostClaimIsSentAgain(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		f.acquire(t.Context(), request("acme"))
		first := f.claim("k1")
		pass(minResend)
		frame := f.take("k1")
		check(t, len(frame.Claims) == 1 && frame.Claims[0].ID == first.ID && frame.Claims[0].AgeMs == 1000, "claims %+v", frame.Claims)
		last := frame.Reports[len(frame.Reports)-1]
		f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: last.Seq, Resend: last.Waiting})
		f.claim("k1")
		pass(600 * time.Millisecond)
		reports := f.take("k1").Reports
		f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: reports[len(reports)-1].Seq})
		pass(20 * time.Second)
		if again := f.take("k1").Claims; len(again) != 0 {
			t.Fatalf("confirmed claim sent again: %+v", again)
		}
	})
}

// A keeper dies and another takes over, knowing nothing. Requests that wait and slots
// that run would be forgotten; the new keeper must get all of them at once.
func TestNewKeeperGetsEverythingAtOnce(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		runs := f.claim("k1")
		f.claimant.HandleGrant("k1", wire.Grant{ID: runs.ID, Cell: cellA, Upstream: "u1", TTLMs: 2000, Virtual: 50})
		s := mustSlot(t, done)
		s.Progress(9)
		f.acquire(t.Context(), request("acme"))
		waits := f.claim("k1")
		for _, change := range []struct {
			to   wire.RouterID
			make func()
		}{
			{"k2", func() { f.setKeeper(cellA, "k2") }},
			{"k2", func() { f.claimant.PeerRestarted("k2") }},
		} {
			change.make()
			frame := f.take(change.to)
			check(t, len(frame.Claims) == 1 && frame.Claims[0].ID == waits.ID && len(frame.Reports) == 1, "claims %+v, reports %+v", frame.Claims, frame.Reports)
			r := frame.Reports[0]
			check(t, r.Full && len(r.Waiting) == 1 && len(r.Running) == 1 && r.Running[0].Cost == 9 && r.Running[0].Upstream == "u1", "report %+v", r)
			check(t, len(r.Orgs) == 1 && r.Orgs[0].Virtual == 50, "counters %+v", r.Orgs)
		}
		s.Done(wire.OutcomeServed, 10, 0, 0)
		f.done("k1", runs.ID, wire.OutcomeServed)
		f.done("k2", runs.ID, wire.OutcomeServed)
	})
}

// Two routers take themselves for the keeper and both grant one claim. The request
// must run once, on the first grant, and the second slot go back; a second copy of the
// first grant must not give back the slot that runs.
func TestTwoKeepersGrantOneClaim(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		claim := f.claim("k1")
		f.setKeeper(cellA, "k2")
		f.claim("k2")
		f.grant("k1", claim, "u1", 0)
		if s := mustSlot(t, done); s.Upstream() != "u1" || !s.Start() {
			t.Fatal(s.Upstream())
		}
		f.grant("k2", claim, "u2", 0)
		if d := f.done("k2", claim.ID, wire.OutcomeUnused); d.Upstream != "u2" {
			t.Fatalf("gave back %s", d.Upstream)
		}
		f.grant("k1", claim, "u1", 0)
		f.grant("k2", claim, "u1", 0)
		d := append(f.take("k1").Dones, f.take("k2").Dones...)
		check(t, len(d) == 0, "gave back the running slot: %+v", d)
	})
}

// The keeping of a cell goes to k2 and back, and both grant one claim on one upstream.
// Were k2's grant given back as unused, k2 would take the slot for free while the request
// runs there. It must hear of the slot only when the request ends.
func TestFormerKeeperGrantsTheSlotThatRuns(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		claim := f.claim("k1")
		f.setKeeper(cellA, "k2")
		f.claim("k2")
		f.setKeeper(cellA, "k1")
		f.claim("k1")
		f.grant("k1", claim, "u1", 0)
		s := mustSlot(t, done)
		f.grant("k2", claim, "u1", 0)
		f.grant("k2", claim, "u1", 0)
		d := f.take("k2").Dones
		check(t, len(d) == 0, "gave back the running slot: %+v", d)
		s.Done(wire.OutcomeServed, 10, 0, 0)
		f.done("k2", claim.ID, wire.OutcomeServed)
		f.done("k1", claim.ID, wire.OutcomeServed)
	})
}

// This router hears that k2 keeps the cell before k2 does, and k2 drops its full report.
// Were the next ones partial, k2 would wait for this router until its bound, and no slot
// be granted meanwhile. Full ones must follow soon until k2 answers, but not for ever.
func TestFullReportUntilTheNewKeeperAnswers(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		full := func() (n int, last uint64) {
			for _, r := range f.take("k2").Reports {
				if last = r.Seq; r.Full {
					n++
				}
			}
			return n, last
		}
		f.acquire(t.Context(), request("acme"))
		for _, answered := range []bool{true, false} {
			f.setKeeper(cellA, "k2")
			full() // lost
			pass(250 * time.Millisecond)
			n, last := full()
			check(t, n == 2, "%d full reports in 250 ms", n)
			if answered {
				f.claimant.HandleState("k2", wire.CellState{Cell: cellA, Seq: last})
			}
			pass(1500 * time.Millisecond)
			n, _ = full()
			check(t, answered == (n == 0) && n < hurriedMost, "%d full reports more, answered: %v", n, answered)
			f.setKeeper(cellA, "k1")
			f.take("k1")
		}
	})
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		reason wire.RefusalReason
		code   verdict.Code // "": the request waits on
	}{
		{wire.RefusedBacklog, verdict.CodeOverloaded},
		{wire.RefusedNoUpstream, verdict.CodeNoUpstream},
		{wire.RefusedQuarantine, verdict.CodeQuarantined},
		{wire.RefusedNotKeeper, ""},
		{wire.RefusedLeaving, ""},
	}
	for _, c := range cases {
		run(t, Options{}, func(t *testing.T, f *fleet) {
			done := f.acquire(t.Context(), request("acme"))
			claim := f.claim("k1")
			f.claimant.HandleRefusal("k9", wire.Refusal{ID: claim.ID, Cell: cellA, Reason: c.reason}) // not ours
			mustWait(t, done)
			f.claimant.HandleRefusal("k1", wire.Refusal{ID: claim.ID, Cell: cellA, Reason: c.reason, RetryMs: 700})
			if c.code == "" {
				mustWait(t, done)
				pass(600 * time.Millisecond)
				f.claim("k1")
				return
			}
			e := mustFail(t, done, c.code)
			if e.RetryAfter != 700*time.Millisecond && c.code != verdict.CodeQuarantined {
				t.Fatalf("retry after %v", e.RetryAfter)
			}
		})
	}
}

func TestRefusedClaimTriesTheOtherCellOnce(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		f.addCellB()
		done := f.acquire(t.Context(), request("acme"))
		a := f.claim("k1")
		f.claimant.HandleRefusal("k1", wire.Refusal{ID: a.ID, Cell: cellA, Reason: wire.RefusedNoUpstream})
		b := f.claim("k2")
		mustWait(t, done)
		f.claimant.HandleRefusal("k2", wire.Refusal{ID: b.ID, Cell: cellB, Reason: wire.RefusedNoUpstream})
		mustFail(t, done, verdict.CodeNoUpstream)
	})
}

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
