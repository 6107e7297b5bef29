package claimant

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// stateMachine makes the decisions of the event loop. It takes the time as an argument and
// leaves the messages to send in out.
type stateMachine struct {
	owner          *Claimant
	directory      Directory
	self           wire.RouterID
	reportInterval time.Duration
	marks          func() []wire.UpstreamMark
	out            outbox

	lastID wire.ClaimID
	claims map[wire.ClaimID]*claim
	// cells are never dropped: report numbers and counters must not decrease within one
	// incarnation. Cells are declared, so the map is bounded.
	cells map[wire.CellID]*cell
	// usages is keyed by pool; pools are declared, so the map is bounded.
	usages map[string]*poolUsage
}

func newStateMachine(owner *Claimant, d Directory, o Options) *stateMachine {
	return &stateMachine{
		owner:          owner,
		self:           o.Self,
		directory:      d,
		reportInterval: o.ReportInterval,
		marks:          o.Marks,
		lastID:         firstID(o.Incarnation),
		claims:         make(map[wire.ClaimID]*claim),
		cells:          make(map[wire.CellID]*cell),
		usages:         make(map[string]*poolUsage),
	}
}

// addWaiter claims a slot for a caller's request.
func (m *stateMachine) addWaiter(now time.Time, w *waiter) {
	c := m.chooseCell(now, w.req.Pool, nil)
	if c == nil {
		w.resolve(answer{err: noUpstream(unknownRetry)})
		return
	}
	m.usage(w.req.Pool).addOrg(w.req.Org)
	cl := &claim{waiter: w, exclude: w.req.Exclude}
	w.claim = cl
	m.place(now, cl, c)
	m.sendClaim(now, cl)
}

// removeWaiter withdraws the claim of a caller that has gone.
func (m *stateMachine) removeWaiter(w *waiter) {
	cl := w.claim
	if cl == nil || m.claims[cl.id] != cl {
		return
	}
	m.withdraw(cl)
}

// place adds a claim to a cell under a new ID. The ID of a claim that left a cell is never
// reused, so a late grant can't be mistaken for the grant of a new claim.
func (m *stateMachine) place(now time.Time, cl *claim, c *cell) {
	m.lastID++
	cl.id = m.lastID
	cl.firstCopies = nil
	cl.listedSeq = 0
	cl.resendBackoff = 0
	m.claims[cl.id] = cl
	c.add(cl, now)
	c.reportBy(now.Add(m.reportInterval))
}

// sendClaim sends a copy of a claim to the keeper of its cell.
func (m *stateMachine) sendClaim(now time.Time, cl *claim) {
	c := cl.cell
	cl.resendBackoff = min(max(2*cl.resendBackoff, minResend), maxResend)
	cl.resendAt = now.Add(cl.resendBackoff)
	if c.keeper == "" {
		return
	}
	if _, ok := cl.firstSentAt(c.keeper); !ok {
		cl.firstCopies = append(cl.firstCopies, firstCopy{keeper: c.keeper, at: now})
	}
	f := m.out.to(c.keeper)
	f.Claims = append(f.Claims, cl.message(now))
	m.owner.claims.Add(1)
	if c.keeper == m.self {
		m.owner.ownClaims.Add(1)
	}
}

// drop forgets a claim without telling the keeper.
func (m *stateMachine) drop(cl *claim) {
	cl.cell.remove(cl)
	delete(m.claims, cl.id)
}

// withdraw cancels a claim at its keeper.
func (m *stateMachine) withdraw(cl *claim) {
	c := cl.cell
	m.drop(cl)
	c.noteRelease()
	if c.keeper == "" {
		return
	}
	f := m.out.to(c.keeper)
	f.Cancels = append(f.Cancels, wire.Cancel{ID: cl.id, Cell: c.id})
}

// reject answers a waiting claim with an error.
func (m *stateMachine) reject(cl *claim, err *verdict.Error) {
	m.drop(cl)
	cl.waiter.resolve(answer{err: err})
}

// tick does all time-driven work. It is called several times per report interval.
func (m *stateMachine) tick(now time.Time) {
	m.refreshKeepers(now)
	m.probeIdleCells(now)
	for _, c := range m.cells {
		m.resendDue(now, c)
		m.reclaimExpired(now, c)
		if c.busy() && c.keeper != "" && !now.Before(c.reportAt) {
			m.sendReport(now, c)
		}
	}
}

func (m *stateMachine) resendDue(now time.Time, c *cell) {
	for _, cl := range c.unconfirmed {
		if !now.Before(cl.resendAt) {
			m.sendClaim(now, cl)
		}
	}
}

// reclaimExpired releases slots whose grant expired before the caller started.
func (m *stateMachine) reclaimExpired(now time.Time, c *cell) {
	for _, s := range c.running {
		if s.expiredUnused(now) {
			m.release(doneEvent{slot: s, outcome: wire.OutcomeUnused})
		}
	}
}
