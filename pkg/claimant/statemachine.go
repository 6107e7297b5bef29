package claimant

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// machine decides for the duty. It takes the time as an argument and leaves what it
// wants sent in out.
type machine struct {
	owner     *Claimant
	directory Directory
	self      wire.RouterID
	report    time.Duration
	marks     func() []wire.UpstreamMark
	out       outbox

	lastID wire.ClaimID
	claims map[wire.ClaimID]*claim
	// cells are never dropped: report numbers and counters must not fall within one
	// incarnation. Cells are declared, so the map is bounded.
	cells map[wire.CellID]*cell
	// tallies by pool; pools are declared, so the map is bounded.
	tallies map[string]*tally
}

func newMachine(owner *Claimant, d Directory, o Options) *machine {
	return &machine{
		owner:     owner,
		self:      o.Self,
		directory: d,
		report:    o.Report,
		marks:     o.Marks,
		lastID:    firstID(o.Incarnation),
		claims:    make(map[wire.ClaimID]*claim),
		cells:     make(map[wire.CellID]*cell),
		tallies:   make(map[string]*tally),
	}
}

// join takes a caller's request.
func (m *machine) join(now time.Time, t *ticket) {
	c := m.choose(now, t.req.Pool, nil)
	if c == nil {
		t.resolve(answer{err: noUpstream(unknownRetry)})
		return
	}
	m.tally(t.req.Pool).know(t.req.Org)
	cl := &claim{ticket: t, exclude: t.req.Exclude}
	t.claim = cl
	m.place(now, cl, c)
	m.send(now, cl)
}

// leave takes back the claim of a caller that has gone.
func (m *machine) leave(t *ticket) {
	cl := t.claim
	if cl == nil || m.claims[cl.id] != cl {
		return
	}
	m.withdraw(cl)
}

// place puts a claim under a new ID into a cell. A claim's ID is never used again
// after it left a cell, so a grant that comes late can't be taken for a new one.
func (m *machine) place(now time.Time, cl *claim, c *cell) {
	m.lastID++
	cl.id = m.lastID
	cl.firsts = nil
	cl.listed = 0
	cl.resend = 0
	m.claims[cl.id] = cl
	c.add(cl, now)
	c.hasten(now.Add(m.report))
}

// send sends a copy of a claim to the keeper of its cell.
func (m *machine) send(now time.Time, cl *claim) {
	c := cl.cell
	cl.resend = min(max(2*cl.resend, minResend), maxResend)
	cl.resendAt = now.Add(cl.resend)
	if c.keeper == "" {
		return
	}
	if _, ok := cl.first(c.keeper); !ok {
		cl.firsts = append(cl.firsts, firstCopy{keeper: c.keeper, at: now})
	}
	f := m.out.to(c.keeper)
	f.Claims = append(f.Claims, cl.message(now))
	m.owner.claims.Add(1)
	if c.keeper == m.self {
		m.owner.own.Add(1)
	}
}

// drop forgets a claim here.
func (m *machine) drop(cl *claim) {
	cl.cell.remove(cl)
	delete(m.claims, cl.id)
}

// withdraw takes a claim back from its keeper.
func (m *machine) withdraw(cl *claim) {
	c := cl.cell
	m.drop(cl)
	c.owe()
	if c.keeper == "" {
		return
	}
	f := m.out.to(c.keeper)
	f.Cancels = append(f.Cancels, wire.Cancel{ID: cl.id, Cell: c.id})
}

// refuse answers a waiting claim with an error.
func (m *machine) refuse(cl *claim, err *verdict.Error) {
	m.drop(cl)
	cl.ticket.resolve(answer{err: err})
}

// tick does all that depends on time alone. It is called several times a report interval.
func (m *machine) tick(now time.Time) {
	m.followKeepers(now)
	m.probe(now)
	for _, c := range m.cells {
		m.resendDue(now, c)
		m.reclaimForfeited(now, c)
		if c.busy() && c.keeper != "" && !now.Before(c.reportAt) {
			m.sendReport(now, c)
		}
	}
}

func (m *machine) resendDue(now time.Time, c *cell) {
	for _, cl := range c.unconfirmed {
		if !now.Before(cl.resendAt) {
			m.send(now, cl)
		}
	}
}

// reclaimForfeited gives slots back whose caller let the grant lapse.
func (m *machine) reclaimForfeited(now time.Time, c *cell) {
	for _, s := range c.running {
		if s.forfeited(now) {
			m.end(ended{slot: s, outcome: wire.OutcomeUnused})
		}
	}
}
