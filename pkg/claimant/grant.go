package claimant

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// handleGrant processes a keeper's grant.
func (m *stateMachine) handleGrant(now time.Time, from wire.RouterID, g wire.Grant) {
	if m.alreadyRuns(from, g) {
		return
	}
	cl, ok := m.claims[g.ID]
	if !ok || cl.cell.id != g.Cell {
		m.returnGrant(from, g)
		return
	}
	cl.cell.noteVirtual(cl.waiter.req.Org, g.Virtual)
	s := m.newSlot(from, cl, g)
	if s == nil || !now.Before(s.expiresAt) {
		m.returnGrant(from, g)
		m.requeue(now, cl, "")
		return
	}
	url, ok := m.directory.UpstreamURL(g.Upstream)
	if !ok || !m.directory.Usable(g.Upstream) || slices.Contains(cl.exclude, g.Upstream) {
		m.returnGrant(from, g)
		m.requeue(now, cl, g.Upstream)
		return
	}
	s.url = url
	m.deliver(now, cl, s)
}

// alreadyRuns reports whether a grant is for a slot that already runs: a second copy of its
// grant, or the grant of another keeper that chose the same upstream. Returning it would
// free a slot in use, and one request too many would queue inside the engine. The other
// keeper gets a Done when the request ends.
func (m *stateMachine) alreadyRuns(from wire.RouterID, g wire.Grant) bool {
	c, ok := m.cells[g.Cell]
	if !ok {
		return false
	}
	s, ok := c.running[g.ID]
	if !ok || s.upstream != g.Upstream {
		return false
	}
	if from != s.keeper && !slices.Contains(s.otherKeepers, from) {
		s.otherKeepers = append(s.otherKeepers, from)
	}
	return true
}

// newSlot returns the slot of a grant; nil when the claim was never sent to that router.
func (m *stateMachine) newSlot(from wire.RouterID, cl *claim, g wire.Grant) *slot {
	base, ok := ttlStart(from, cl, g)
	if !ok {
		return nil
	}
	return &slot{
		owner: m.owner, id: cl.id, cell: cl.cell, keeper: from,
		org:      cl.waiter.req.Org,
		upstream: g.Upstream, expiresAt: base.Add(time.Duration(g.TTLMs) * time.Millisecond),
		alone: g.Alone,
	}
}

// ttlStart returns the moment from which a grant's TTL counts, on this router's clock.
//
// The failure it guards against: a paused or slow router uses a grant that its keeper
// considers expired. The keeper can't have granted before it had a copy of the claim, nor
// before it had the report that the grant echoes. The sending of either is therefore a safe
// start, and the later one is the tighter bound. With the first copy alone every claim
// that waited longer than the TTL would have its grant expire.
func ttlStart(from wire.RouterID, cl *claim, g wire.Grant) (time.Time, bool) {
	base, ok := cl.firstSentAt(from)
	if !ok {
		return time.Time{}, false
	}
	if at, known := cl.cell.reports.sentAt(g.EchoSeq, from); known && at.After(base) {
		base = at
	}
	return base, true
}

// deliver gives a slot to the claim's caller, or releases it when the caller has left.
func (m *stateMachine) deliver(now time.Time, cl *claim, s *slot) {
	m.drop(cl)
	c := s.cell
	c.running[s.id] = s
	if !cl.waiter.resolve(answer{slot: s}) {
		m.release(doneEvent{slot: s, outcome: wire.OutcomeUnused})
		return
	}
	if s.keeper != c.keeper {
		c.reportAt = now // the present keeper must learn that the claim runs
	}
}

// requeue places a claim again after an unused grant. It keeps its age, and excluded, if
// not empty, is added to its excluded upstreams. The first time the claim is sent at once,
// later with backoff, so that a keeper with outdated state isn't asked in a tight loop.
func (m *stateMachine) requeue(now time.Time, cl *claim, excluded string) {
	c := cl.cell
	m.drop(cl)
	if excluded != "" && !slices.Contains(cl.exclude, excluded) {
		cl.exclude = append(slices.Clone(cl.exclude), excluded)
	}
	m.place(now, cl, c)
	cl.retries++
	if cl.retries == 1 {
		m.sendClaim(now, cl)
		return
	}
	cl.resendAt = now.Add(min(time.Duration(cl.retries)*m.reportInterval, maxResend))
}

// returnGrant returns an unused grant to its keeper.
func (m *stateMachine) returnGrant(to wire.RouterID, g wire.Grant) {
	if c, ok := m.cells[g.Cell]; ok {
		c.noteRelease()
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

// release takes a slot back from its caller and reports its cost.
func (m *stateMachine) release(e doneEvent) {
	s := e.slot
	c := s.cell
	if c.running[s.id] != s {
		return
	}
	delete(c.running, s.id)
	c.noteRelease()
	service := s.service()
	m.countService(s, service)
	done := wire.Done{
		ID: s.id, Cell: c.id, Upstream: s.upstream, Outcome: e.outcome,
		Cost: service, FirstMs: millis(e.firstToken), StepUs: micros(e.tokenInterval),
	}
	m.sendDone(s.keeper, done)
	if c.keeper != "" && c.keeper != s.keeper && !slices.Contains(s.otherKeepers, c.keeper) {
		m.sendDone(c.keeper, done)
	}
	for _, k := range s.otherKeepers {
		m.sendDone(k, done)
	}
}

func (m *stateMachine) sendDone(to wire.RouterID, d wire.Done) {
	f := m.out.to(to)
	f.Dones = append(f.Dones, d)
}

func micros(d time.Duration) uint32 {
	const largest = 1<<32 - 1
	return uint32(min(max(d.Microseconds(), 0), largest))
}

// handleRefusal processes a keeper's refusal.
func (m *stateMachine) handleRefusal(now time.Time, from wire.RouterID, r wire.Refusal) {
	cl, ok := m.claims[r.ID]
	if !ok || cl.cell.id != r.Cell || cl.cell.keeper != from {
		return
	}
	switch r.Reason {
	case wire.RefusedNotKeeper, wire.RefusedLeaving:
		m.retryLater(now, cl)
	case wire.RefusedNoUpstream, wire.RefusedBacklog:
		m.tryOtherCell(now, cl, r)
	default:
		m.reject(cl, fromRefusal(r))
	}
}

// retryLater sends the claim again when the routers have had time to agree on the cell's
// keeper. A change of keeper sends it at once.
func (m *stateMachine) retryLater(now time.Time, cl *claim) {
	c := cl.cell
	cl.listedSeq = 0
	c.unconfirmed[cl.id] = cl
	cl.resendAt = now.Add(m.reportInterval)
	m.refreshKeeper(now, c)
}

// tryOtherCell tries each other cell of the pool once and then refuses the request at once:
// the caller can use the time until its deadline better than by waiting here.
func (m *stateMachine) tryOtherCell(now time.Time, cl *claim, r wire.Refusal) {
	cl.refusals++
	to := m.chooseCell(now, cl.cell.pool, cl.cell)
	limit := len(m.directory.Cells(cl.cell.pool))
	if to == nil || cl.refusals >= limit {
		m.reject(cl, fromRefusal(r))
		return
	}
	m.drop(cl)
	m.place(now, cl, to)
	m.sendClaim(now, cl)
}
