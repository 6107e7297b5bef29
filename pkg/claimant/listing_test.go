package claimant

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// answerAll answers the reports in a frame and gives the newest one.
func (f *fleet) answerAll(from wire.RouterID, frame wire.Frame, unknown bool) wire.Report {
	f.t.Helper()
	if len(frame.Reports) == 0 {
		f.t.Fatal("no report")
	}
	last := frame.Reports[len(frame.Reports)-1]
	f.claimant.HandleState(from, wire.CellState{Cell: last.Cell, Seq: last.Seq, Spare: 1, Unknown: unknown})
	return last
}

// Hundreds of requests run at a router for seconds each, and naming organisation and
// upstream of each one in every report was most of its control bytes. Once the keeper has
// answered a report that named them, numbers do. A keeper that was replaced by another in
// the same router knows none of them: it says so and must get all names at once, or it
// would give their slots away.
func TestKnownSlotsAreListedByNumber(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		c := f.claim("k1")
		f.grant("k1", c, "u1", 0)
		s := mustSlot(t, done)
		check(t, s.Start(), "not started")
		pass(700 * time.Millisecond)
		r := f.answerAll("k1", f.take("k1"), false)
		check(t, len(r.Running) == 1 && r.Running[0].Upstream == "u1", "an unknown slot isn't named: %+v", r)
		s.Progress(7)
		pass(1200 * time.Millisecond)
		r = f.answerAll("k1", f.take("k1"), false)
		check(t, !r.Full && len(r.Running) == 0 && len(r.Progress) == 1, "a known slot is named: %+v", r)
		check(t, r.Base+wire.ClaimID(r.Progress[0].Offset) == c.ID && r.Progress[0].Cost == 7, "progress %+v", r)
		pass(1200 * time.Millisecond)
		r = f.answerAll("k1", f.take("k1"), true)
		check(t, len(r.Progress) == 1, "a slot without progress is left out: %+v", r)
		pass(200 * time.Millisecond)
		r = f.answerAll("k1", f.take("k1"), false)
		check(t, r.Full && len(r.Running) == 1 && r.Running[0].Org == "acme", "no names for a keeper that asks: %+v", r)
	})
}

// A router has served hundreds of organisations. A lost report must be made good, but
// not by listing all of them in every full report: they come in turn.
func TestFullReportsListCountersInTurn(t *testing.T) {
	const orgs = 3 * turnOrgs
	m := newMachine(nil, nil, Options{})
	c := newCell(cellA, pool)
	for i := range orgs {
		m.tally(pool).know(fmt.Sprint("org-", i))
	}
	check(t, len(m.counters(c, true, true)) == orgs, "a new keeper doesn't get all")
	check(t, len(m.counters(c, false, false)) == 0, "unchanged counters in a partial report")
	seen := make(map[string]bool)
	for range 3 {
		list := m.counters(c, true, false)
		check(t, len(list) == turnOrgs, "%d counters in a full report", len(list))
		for _, o := range list {
			seen[o.Org] = true
		}
	}
	check(t, len(seen) == orgs, "only %d organisations had their turn", len(seen))
	m.tally(pool).totals["org-5"] += 3
	list := m.counters(c, false, false)
	check(t, len(list) == 1 && list[0].Elsewhere == 3, "a changed counter isn't told: %+v", list)
}

// Where nothing waits reports are rarer; a new claim must not wait for such a one, since
// the lapse of its grant is counted from a report.
func TestAQuietCellReportsLessOften(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		check(t, mustSlot(t, done).Start(), "not started")
		pass(700 * time.Millisecond)
		f.answerAll("k1", f.take("k1"), false)
		pass(10 * time.Second)
		n := len(f.take("k1").Reports)
		check(t, n >= 9 && n <= 11, "%d reports in 10 s", n)
		for len(f.take("k1").Reports) == 0 {
			pass(50 * time.Millisecond)
		}
		f.acquire(t.Context(), request("acme"))
		f.take("k1")
		pass(650 * time.Millisecond)
		check(t, len(f.take("k1").Reports) > 0, "no report soon after a claim")
	})
}

// An organisation marks journals at the engines all evening and its classes check in at
// a plain service, which somebody else floods. Were its tokens charged there as well,
// every check-in would wait behind the whole flood.
func TestServiceOfOtherPoolsIsNotCharged(t *testing.T) {
	m := newMachine(nil, nil, Options{})
	engines, service := newCell(cellA, pool), newCell("records/0", "records")
	m.tally("records").know("acme")
	m.tally(pool).know("acme")
	m.count(&slot{org: "acme", cell: engines}, 5000)
	list := m.counters(service, true, true)
	check(t, len(list) == 1 && list[0].Elsewhere == 0, "tokens are charged at the service: %+v", list)
	list = m.counters(newCell(cellB, pool), true, true)
	check(t, len(list) == 1 && list[0].Elsewhere == 5000, "not charged in the pool's other cell: %+v", list)
}
