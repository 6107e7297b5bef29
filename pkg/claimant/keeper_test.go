package claimant

import (
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
