package claimant

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// stateMaxAge is for how many report intervals a keeper's count of spare slots is used.
const stateMaxAge = 4

// chooseCell picks the cell of a pool for a new claim: one with spare slots, else the one
// with the smallest backlog. It returns nil when no cell but except has a keeper.
func (m *stateMachine) chooseCell(now time.Time, pool string, except *cell) *cell {
	var best *cell
	for _, id := range m.directory.Cells(pool) {
		c := m.cell(id, pool)
		if c == except || !m.refreshKeeper(now, c) {
			continue
		}
		if best == nil || m.preferred(now, c, best) {
			best = c
		}
	}
	if best != nil && best.spare > 0 {
		best.spare-- // until the keeper's next answer: the next claim may go to another cell
	}
	return best
}

// preferred reports whether a is the better cell for a claim than b. An idle cell that this
// router keeps itself comes first: claims to it are function calls and cost no control
// message. Fairness doesn't depend on the choice, since counters are merged over all cells,
// and with a backlog the spare slots decide. Each router orders cells of which nothing is
// known differently, so that an idle pool's claims don't all go to its first cell.
func (m *stateMachine) preferred(now time.Time, a, b *cell) bool {
	if ownA, ownB := m.ownIdle(now, a), m.ownIdle(now, b); ownA != ownB {
		return ownA
	}
	spareA, spareB := m.spareSlots(now, a), m.spareSlots(now, b)
	if spareA != spareB {
		return spareA > spareB
	}
	if loadA, loadB := m.weightedLoad(a), m.weightedLoad(b); loadA != loadB {
		return loadA < loadB
	}
	return a.tieBreak < b.tieBreak
}

// ownLoadDivisor is how many times longer the backlog of a cell that this router keeps may
// be than that of other cells before claims go to another router. Claims move to a cell
// that reports spare slots in any case.
const ownLoadDivisor = 2

// weightedLoad is the load by which cells without spare slots are compared.
func (m *stateMachine) weightedLoad(c *cell) int {
	if c.keeper == m.self && m.self != "" {
		return m.load(c) / ownLoadDivisor
	}
	return m.load(c)
}

// ownIdle reports whether this router keeps c and no claim is known to wait there.
func (m *stateMachine) ownIdle(now time.Time, c *cell) bool {
	known := now.Sub(c.stateAt) <= stateMaxAge*m.reportInterval
	return c.keeper == m.self && m.self != "" && m.load(c) == 0 && (!known || c.spare > 0)
}

func (m *stateMachine) spareSlots(now time.Time, c *cell) uint32 {
	if now.Sub(c.stateAt) > stateMaxAge*m.reportInterval {
		return 0
	}
	return c.spare
}

// load is the backlog as far as known here. The keeper's count includes this router's
// claims, but an older number of them.
func (m *stateMachine) load(c *cell) int { return max(int(c.backlog), c.waiting.Len()) }

func (m *stateMachine) cell(id wire.CellID, pool string) *cell {
	c, ok := m.cells[id]
	if !ok {
		c = newCell(id, pool)
		c.tieBreak = xxhash.Sum64String(string(m.self) + "/" + string(id))
		m.cells[id] = c
	}
	return c
}

// refreshKeeper updates the keeper of a cell; false when none is known.
func (m *stateMachine) refreshKeeper(now time.Time, c *cell) bool {
	k, ok := m.directory.Keeper(c.id)
	if !ok {
		c.keeper = ""
		return false
	}
	if k != c.keeper {
		m.changeKeeper(now, c, k)
	}
	return true
}

// changeKeeper switches to a new keeper. It has no state and grants nothing until it knows
// all claims, so it gets them and a full report at once.
func (m *stateMachine) changeKeeper(now time.Time, c *cell, k wire.RouterID) {
	c.resetKeeper(k)
	for e := c.waiting.Front(); e != nil; e = e.Next() {
		m.sendClaim(now, e.Value.(*claim))
	}
	if c.busy() {
		m.sendReport(now, c)
	}
}

// handleRestart treats a restarted keeper, which has lost its state, as a new one.
func (m *stateMachine) handleRestart(now time.Time, k wire.RouterID) {
	for _, c := range m.cells {
		if c.keeper == k {
			m.changeKeeper(now, c, k)
		}
	}
}

// refreshKeepers updates the keepers of all busy cells. The claims of a cell that has no
// keeper any more, or no longer exists, move to another cell of the pool.
func (m *stateMachine) refreshKeepers(now time.Time) {
	for _, c := range m.cells {
		if !c.busy() || m.refreshKeeper(now, c) {
			continue
		}
		m.evacuate(now, c)
	}
}

func (m *stateMachine) evacuate(now time.Time, c *cell) {
	for c.waiting.Len() > 0 {
		to := m.chooseCell(now, c.pool, c)
		if to == nil {
			return // wait: a keeper is unknown only for moments
		}
		m.move(now, c.waiting.Front().Value.(*claim), to)
	}
}

func (m *stateMachine) move(now time.Time, cl *claim, to *cell) {
	m.withdraw(cl)
	m.place(now, cl, to)
	m.sendClaim(now, cl)
}

// minStay is how many report intervals a claim stays in a cell before it may move.
// Without it claims would oscillate between cells and lose their position each time.
const minStay = 1

// fillSpareSlots moves waiting claims of the same pool to a cell whose keeper reports
// spare slots. It fills at most half of them at a time, since other routers see the same
// slots.
func (m *stateMachine) fillSpareSlots(now time.Time, c *cell) {
	room := int(c.spare+1) / 2
	for _, id := range m.directory.Cells(c.pool) {
		from, ok := m.cells[id]
		if !ok || from == c || m.spareSlots(now, from) > 0 {
			continue
		}
		for room > 0 && from.waiting.Len() > 0 {
			cl := from.waiting.Front().Value.(*claim)
			if now.Sub(cl.placedAt) < minStay*m.reportInterval {
				break
			}
			m.move(now, cl, c)
			room--
			c.spare--
		}
	}
}

// probeIdleCells sends reports to the idle cells of a pool in which claims wait: the
// keepers' answers tell about spare slots.
func (m *stateMachine) probeIdleCells(now time.Time) {
	for _, c := range m.cells {
		if c.waiting.Len() == 0 || now.Sub(c.waiting.Front().Value.(*claim).placedAt) < minStay*m.reportInterval {
			continue
		}
		for _, id := range m.directory.Cells(c.pool) {
			idle := m.cell(id, c.pool)
			if !idle.busy() && m.refreshKeeper(now, idle) && !now.Before(idle.reportAt) {
				m.sendReport(now, idle)
			}
		}
	}
}
