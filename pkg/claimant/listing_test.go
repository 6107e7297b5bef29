package claimant

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// answerAll answers the newest report in a frame and returns it.
func (f *fakeFleet) answerAll(from wire.RouterID, frame wire.Frame, unknown bool) wire.Report {
	f.t.Helper()
	if len(frame.Reports) == 0 {
		f.t.Fatal("no report in the frame")
	}
	last := frame.Reports[len(frame.Reports)-1]
	f.claimant.HandleState(from, wire.CellState{Cell: last.Cell, Seq: last.Seq, Spare: 1, Unknown: unknown})
	return last
}

// Hundreds of requests run at a router for seconds each, and naming the organisation and
// upstream of each in every report would take most of its control bytes. Once the keeper has
// answered a report that named them, IDs are enough. A keeper that was replaced by another
// in the same router knows none of them: it says so and must get all names at once, or it
// would give their slots away.
func TestKnownSlotsAreListedByNumber(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		c := f.claim("k1")
		f.grant("k1", c, "u1", 0)
		s := mustSlot(t, done)
		check(t, s.Start(), "the slot can't be started")
		advance(700 * time.Millisecond)
		r := f.answerAll("k1", f.take("k1"), false)
		check(t, len(r.Running) == 1 && r.Running[0].Upstream == "u1", "an unknown slot is listed without its names: %+v", r)
		s.Progress(7)
		advance(1200 * time.Millisecond)
		r = f.answerAll("k1", f.take("k1"), false)
		check(t, !r.Full && len(r.Running) == 0 && len(r.Progress) == 1, "a known slot isn't listed by number: %+v", r)
		check(t, r.Base+wire.ClaimID(r.Progress[0].Offset) == c.ID && r.Progress[0].Cost == 7, "progress %+v, want 7 units of the slot", r)
		advance(1200 * time.Millisecond)
		r = f.answerAll("k1", f.take("k1"), true)
		check(t, len(r.Progress) == 1, "a slot without progress isn't listed: %+v", r)
		advance(200 * time.Millisecond)
		r = f.answerAll("k1", f.take("k1"), false)
		check(t, r.Full && len(r.Running) == 1 && r.Running[0].Org == "acme", "no names for a keeper that asked for them: %+v", r)
	})
}

// A router has served hundreds of organisations. A lost report must be made good, but not
// by listing all of them in every full report: they are listed in rotation.
func TestFullReportsListCountersInTurn(t *testing.T) {
	const orgs = 3 * orgsPerFullReport
	m := newStateMachine(nil, nil, Options{})
	c := newCell(cellA, pool)
	for i := range orgs {
		m.usage(pool).addOrg(fmt.Sprint("org-", i))
	}
	check(t, len(m.listCounters(c, true, true)) == orgs, "a new keeper doesn't get all counters")
	check(t, len(m.listCounters(c, false, false)) == 0, "unchanged counters in a partial report")
	seen := make(map[string]bool)
	for range 3 {
		list := m.listCounters(c, true, false)
		check(t, len(list) == orgsPerFullReport, "%d counters in a full report", len(list))
		for _, o := range list {
			seen[o.Org] = true
		}
	}
	check(t, len(seen) == orgs, "only %d organisations were listed in the rotation", len(seen))
	m.usage(pool).totals["org-5"] += 3
	list := m.listCounters(c, false, false)
	check(t, len(list) == 1 && list[0].Elsewhere == 3, "a changed counter isn't reported: %+v", list)
}

// Reports for a cell in which nothing waits are less frequent. A new claim must not wait for the longer
// interval, since the TTL of its grant counts from a report.
func TestAQuietCellReportsLessOften(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		check(t, mustSlot(t, done).Start(), "the slot can't be started")
		advance(700 * time.Millisecond)
		f.answerAll("k1", f.take("k1"), false)
		advance(10 * time.Second)
		n := len(f.take("k1").Reports)
		check(t, n >= 9 && n <= 11, "%d reports in 10 s, want about 10", n)
		for len(f.take("k1").Reports) == 0 {
			advance(50 * time.Millisecond)
		}
		f.acquire(t.Context(), request("acme"))
		f.take("k1")
		advance(650 * time.Millisecond)
		check(t, len(f.take("k1").Reports) > 0, "no report within an interval of a claim")
	})
}

// An organisation uses many tokens at the engines and also calls a plain service, which
// another organisation floods. If its tokens were charged at the service as well, each of
// its calls would wait behind the whole flood.
func TestServiceOfOtherPoolsIsNotCharged(t *testing.T) {
	m := newStateMachine(nil, nil, Options{})
	engines, service := newCell(cellA, pool), newCell("records/0", "records")
	m.usage("records").addOrg("acme")
	m.usage(pool).addOrg("acme")
	m.countService(&slot{org: "acme", cell: engines}, 5000)
	list := m.listCounters(service, true, true)
	check(t, len(list) == 1 && list[0].Elsewhere == 0, "tokens are charged at the service: %+v", list)
	list = m.listCounters(newCell(cellB, pool), true, true)
	check(t, len(list) == 1 && list[0].Elsewhere == 5000, "not charged in the pool's other cell: %+v", list)
}
