package claimant

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// grant takes a keeper's grant.
func (m *machine) grant(now time.Time, from wire.RouterID, g wire.Grant) {
	if m.runs(from, g) {
		return
	}
	cl, ok := m.claims[g.ID]
	if !ok || cl.cell.id != g.Cell {
		m.giveBack(from, g)
		return
	}
	cl.cell.noteVirtual(cl.ticket.req.Org, g.Virtual)
	s := m.slotOf(from, cl, g)
	if s == nil || !now.Before(s.lapses) {
		m.giveBack(from, g)
		m.again(now, cl, "")
		return
	}
	url, ok := m.directory.UpstreamURL(g.Upstream)
	if !ok || !m.directory.Usable(g.Upstream) || slices.Contains(cl.exclude, g.Upstream) {
		m.giveBack(from, g)
		m.again(now, cl, g.Upstream)
		return
	}
	s.url = url
	m.hand(now, cl, s)
}

// runs says that a grant is for the slot that runs already: a second copy of its grant,
// or the grant of another keeper that chose the same upstream. Giving it back would free
// a slot in use there, and one request more would wait inside the engine. The other keeper
// hears of the slot when the request ends.
func (m *machine) runs(from wire.RouterID, g wire.Grant) bool {
	c, ok := m.cells[g.Cell]
	if !ok {
		return false
	}
	s, ok := c.running[g.ID]
	if !ok || s.upstream != g.Upstream {
		return false
	}
	if from != s.keeper && !slices.Contains(s.others, from) {
		s.others = append(s.others, from)
	}
	return true
}

// slotOf makes the slot of a grant; nil when the claim was never sent to that router.
func (m *machine) slotOf(from wire.RouterID, cl *claim, g wire.Grant) *slot {
	base, ok := grantBase(from, cl, g)
	if !ok {
		return nil
	}
	return &slot{
		owner: m.owner, id: cl.id, cell: cl.cell, keeper: from,
		org:      cl.ticket.req.Org,
		upstream: g.Upstream, lapses: base.Add(time.Duration(g.TTLMs) * time.Millisecond),
		alone: g.Alone,
	}
}

// grantBase is the moment from which a grant's time counts, on this router's clock.
//
// The failure it guards against: a paused or slow router uses a grant that its keeper
// has written off. The keeper can't have granted before it had a copy of the claim, nor
// before it had the report that the grant echoes, so the sending of either is a safe
// moment and the later one is the tighter. The first copy alone would be safe too, but
// every claim that waited longer than the grant lives would lapse.
func grantBase(from wire.RouterID, cl *claim, g wire.Grant) (time.Time, bool) {
	base, ok := cl.first(from)
	if !ok {
		return time.Time{}, false
	}
	if at, known := cl.cell.reports.sentAt(g.EchoSeq, from); known && at.After(base) {
		base = at
	}
	return base, true
}

// hand gives a slot to the claim's caller, or back when the caller has left.
func (m *machine) hand(now time.Time, cl *claim, s *slot) {
	m.drop(cl)
	c := s.cell
	c.running[s.id] = s
	if !cl.ticket.resolve(answer{slot: s}) {
		m.end(ended{slot: s, outcome: wire.OutcomeUnused})
		return
	}
	if s.keeper != c.keeper {
		c.reportAt = now // the present keeper must learn that the claim runs
	}
}

// again puts a claim back in line after a grant that came to nothing, with its age
// kept; without excluded, when that isn't "". The first time at once, then with
// backoff, so that a keeper with an old view isn't asked at the speed of the wire.
func (m *machine) again(now time.Time, cl *claim, excluded string) {
	c := cl.cell
	m.drop(cl)
	if excluded != "" && !slices.Contains(cl.exclude, excluded) {
		cl.exclude = append(slices.Clone(cl.exclude), excluded)
	}
	m.place(now, cl, c)
	cl.retries++
	if cl.retries == 1 {
		m.send(now, cl)
		return
	}
	cl.resendAt = now.Add(min(time.Duration(cl.retries)*m.report, maxResend))
}

// giveBack returns a grant that isn't used.
func (m *machine) giveBack(to wire.RouterID, g wire.Grant) {
	if c, ok := m.cells[g.Cell]; ok {
		c.owe()
	}
	f := m.out.to(to)
	f.Dones = append(f.Dones, wire.Done{
		ID: g.ID, Cell: g.Cell, Upstream: g.Upstream,
		Outcome: wire.OutcomeUnused,
	})
}

func (c *cell) noteVirtual(org string, v wire.Units) {
	if v > c.virtual[org] {
		c.virtual[org] = v
	}
}

// end takes a slot back from its caller and settles it.
func (m *machine) end(e ended) {
	s := e.slot
	c := s.cell
	if c.running[s.id] != s {
		return
	}
	delete(c.running, s.id)
	c.owe()
	service := s.service()
	m.count(s, service)
	done := wire.Done{
		ID: s.id, Cell: c.id, Upstream: s.upstream, Outcome: e.outcome,
		Cost: service, FirstMs: millis(e.first), StepUs: micros(e.step),
	}
	m.sendDone(s.keeper, done)
	if c.keeper != "" && c.keeper != s.keeper && !slices.Contains(s.others, c.keeper) {
		m.sendDone(c.keeper, done)
	}
	for _, k := range s.others {
		m.sendDone(k, done)
	}
}

func (m *machine) sendDone(to wire.RouterID, d wire.Done) {
	f := m.out.to(to)
	f.Dones = append(f.Dones, d)
}

func micros(d time.Duration) uint32 {
	const largest = 1<<32 - 1
	return uint32(min(max(d.Microseconds(), 0), largest))
}

// refusal takes a keeper's refusal.
func (m *machine) refusal(now time.Time, from wire.RouterID, r wire.Refusal) {
	cl, ok := m.claims[r.ID]
	if !ok || cl.cell.id != r.Cell || cl.cell.keeper != from {
		return
	}
	switch r.Reason {
	case wire.RefusedNotKeeper, wire.RefusedLeaving:
		m.askLater(now, cl)
	case wire.RefusedNoUpstream, wire.RefusedBacklog:
		m.elsewhere(now, cl, r)
	default:
		m.refuse(cl, fromRefusal(r))
	}
}

// askLater asks again when views of who keeps the cell have had time to meet. A
// change of keeper asks at once.
func (m *machine) askLater(now time.Time, cl *claim) {
	c := cl.cell
	cl.listed = 0
	c.unconfirmed[cl.id] = cl
	cl.resendAt = now.Add(m.report)
	m.follow(now, c)
}

// elsewhere tries the other cells of the pool, each once, and then answers the caller at
// once: it can use the time until its deadline better than waiting here.
func (m *machine) elsewhere(now time.Time, cl *claim, r wire.Refusal) {
	cl.refusals++
	to := m.choose(now, cl.cell.pool, cl.cell)
	limit := len(m.directory.Cells(cl.cell.pool))
	if to == nil || cl.refusals >= limit {
		m.refuse(cl, fromRefusal(r))
		return
	}
	m.drop(cl)
	m.place(now, cl, to)
	m.send(now, cl)
}
