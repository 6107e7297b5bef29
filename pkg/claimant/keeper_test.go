package claimant

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// The frame with a claim is lost, and the request would wait until its deadline beside
// free slots. The claim must be sent again until the keeper is known to have it, and again
// when the keeper says that it doesn't.
func TestLostClaimIsSentAgain(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		f.acquire(t.Context(), request("acme"))
		first := f.claim("k1")
		advance(minResend)
		frame := f.take("k1")
		check(t, len(frame.Claims) == 1 && frame.Claims[0].ID == first.ID && frame.Claims[0].AgeMs == 1000, "claims %+v, want the first one again with its age", frame.Claims)
		last := frame.Reports[len(frame.Reports)-1]
		f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: last.Seq, Resend: last.Waiting})
		f.claim("k1")
		advance(600 * time.Millisecond)
		reports := f.take("k1").Reports
		f.claimant.HandleState("k1", wire.CellState{Cell: cellA, Seq: reports[len(reports)-1].Seq})
		advance(20 * time.Second)
		if again := f.take("k1").Claims; len(again) != 0 {
			t.Fatalf("confirmed claim sent again: %+v", again)
		}
	})
}

// A keeper fails and another takes over without state. It must get all waiting claims and
// running slots at once.
func TestNewKeeperGetsEverythingAtOnce(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		runs := f.claim("k1")
		f.claimant.HandleGrant("k1", wire.Grant{ID: runs.ID, Cell: cellA, Upstream: "u1", TTLMs: 2000, Virtual: 50})
		s := mustSlot(t, done)
		s.Progress(9)
		f.acquire(t.Context(), request("acme"))
		waits := f.claim("k1")
		for _, change := range []struct {
			to    wire.RouterID
			apply func()
		}{
			{"k2", func() { f.setKeeper(cellA, "k2") }},
			{"k2", func() { f.claimant.PeerRestarted("k2") }},
		} {
			change.apply()
			frame := f.take(change.to)
			check(t, len(frame.Claims) == 1 && frame.Claims[0].ID == waits.ID && len(frame.Reports) == 1, "claims %+v, reports %+v; want the waiting claim and one report", frame.Claims, frame.Reports)
			r := frame.Reports[0]
			check(t, r.Full && len(r.Waiting) == 1 && len(r.Running) == 1 && r.Running[0].Cost == 9 && r.Running[0].Upstream == "u1", "report %+v, want a full one with the waiting claim and the running slot", r)
			check(t, len(r.Orgs) == 1 && r.Orgs[0].Virtual == 50, "counters %+v, want one with virtual counter 50", r.Orgs)
		}
		s.Done(wire.OutcomeServed, 10, 0, 0)
		f.done("k1", runs.ID, wire.OutcomeServed)
		f.done("k2", runs.ID, wire.OutcomeServed)
	})
}

// Two routers both act as the keeper and grant one claim. The request must run once, on
// the first grant, and the second slot be returned. A second copy of the first grant must
// not return the running slot.
func TestTwoKeepersGrantOneClaim(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
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
			t.Fatalf("returned the slot on %s, want u2", d.Upstream)
		}
		f.grant("k1", claim, "u1", 0)
		f.grant("k2", claim, "u1", 0)
		d := append(f.take("k1").Dones, f.take("k2").Dones...)
		check(t, len(d) == 0, "returned the running slot: %+v", d)
	})
}

// The cell's keeper changes to k2 and back, and both grant one claim on the same upstream.
// If k2's grant were returned as unused, k2 would consider the slot free while the request
// runs. It must get a Done only when the request ends.
func TestFormerKeeperGrantsTheSlotThatRuns(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
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
		check(t, len(d) == 0, "returned the running slot: %+v", d)
		s.Done(wire.OutcomeServed, 10, 0, 0)
		f.done("k2", claim.ID, wire.OutcomeServed)
		f.done("k1", claim.ID, wire.OutcomeServed)
	})
}

// This router learns that k2 keeps the cell before k2 does, and k2 drops its full report.
// If the next reports were partial, k2 would wait for this router until its timeout and
// grant nothing meanwhile. Full reports must follow soon until k2 answers, but not for ever.
func TestFullReportUntilTheNewKeeperAnswers(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
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
			advance(250 * time.Millisecond)
			n, last := full()
			check(t, n == 2, "%d full reports in 250 ms, want 2", n)
			if answered {
				f.claimant.HandleState("k2", wire.CellState{Cell: cellA, Seq: last})
			}
			advance(1500 * time.Millisecond)
			n, _ = full()
			check(t, answered == (n == 0) && n < maxUrgentReports, "%d further full reports, answered: %v", n, answered)
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
		run(t, Options{}, func(t *testing.T, f *fakeFleet) {
			done := f.acquire(t.Context(), request("acme"))
			claim := f.claim("k1")
			f.claimant.HandleRefusal("k9", wire.Refusal{ID: claim.ID, Cell: cellA, Reason: c.reason}) // from another router than the keeper
			mustWait(t, done)
			f.claimant.HandleRefusal("k1", wire.Refusal{ID: claim.ID, Cell: cellA, Reason: c.reason, RetryMs: 700})
			if c.code == "" {
				mustWait(t, done)
				advance(600 * time.Millisecond)
				f.claim("k1")
				return
			}
			e := mustFail(t, done, c.code)
			if e.RetryAfter != 700*time.Millisecond && c.code != verdict.CodeQuarantined {
				t.Fatalf("retry after %v, want 700 ms", e.RetryAfter)
			}
		})
	}
}

func TestRefusedClaimTriesTheOtherCellOnce(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
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
