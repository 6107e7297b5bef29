package claimant

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// freshFor is how many report intervals a keeper's word on its spare slots is used.
const freshFor = 4

// choose picks the cell of a pool for a new claim: one with spare slots, else the one
// with the least backlog. It returns nil when no cell but except has a keeper.
func (m *machine) choose(now time.Time, pool string, except *cell) *cell {
	var best *cell
	for _, id := range m.directory.Cells(pool) {
		c := m.cell(id, pool)
		if c == except || !m.follow(now, c) {
			continue
		}
		if best == nil || m.better(now, c, best) {
			best = c
		}
	}
	if best != nil && best.spare > 0 {
		best.spare-- // until the keeper's next word: the next claim may go elsewhere
	}
	return best
}

// better prefers a cell that this router keeps itself while nothing waits there: its
// claims are function calls and cost no control message. Fairness doesn't depend on the
// choice, since counters are merged over all cells, and with a backlog the spare slots
// decide. Among cells of which nothing is known each router has an order of its own, so
// that a quiet pool's claims don't all meet at its first cell.
func (m *machine) better(now time.Time, a, b *cell) bool {
	if ownA, ownB := m.ownIdle(now, a), m.ownIdle(now, b); ownA != ownB {
		return ownA
	}
	spareA, spareB := m.spare(now, a), m.spare(now, b)
	if spareA != spareB {
		return spareA > spareB
	}
	if loadA, loadB := m.bias(a), m.bias(b); loadA != loadB {
		return loadA < loadB
	}
	return a.draw < b.draw
}

// ownBias is by how much an own cell's backlog may be longer than that of the others
// before a claim crosses the wire. Claims move anyway to a cell that reports spare slots.
const ownBias = 2

// bias is the load by which cells without spare slots are compared.
func (m *machine) bias(c *cell) int {
	if c.keeper == m.self && m.self != "" {
		return m.load(c) / ownBias
	}
	return m.load(c)
}

// ownIdle says that this router keeps c and nothing is known to wait there.
func (m *machine) ownIdle(now time.Time, c *cell) bool {
	known := now.Sub(c.stateAt) <= freshFor*m.report
	return c.keeper == m.self && m.self != "" && m.load(c) == 0 && (!known || c.spare > 0)
}

func (m *machine) spare(now time.Time, c *cell) uint32 {
	if now.Sub(c.stateAt) > freshFor*m.report {
		return 0
	}
	return c.spare
}

// load is the backlog as far as known here: the keeper's word includes an earlier
// count of our own claims.
func (m *machine) load(c *cell) int { return max(int(c.backlog), c.waiting.Len()) }

func (m *machine) cell(id wire.CellID, pool string) *cell {
	c, ok := m.cells[id]
	if !ok {
		c = newCell(id, pool)
		c.draw = xxhash.Sum64String(string(m.self) + "/" + string(id))
		m.cells[id] = c
	}
	return c
}

// follow brings the keeper of a cell up to date; false when none is known.
func (m *machine) follow(now time.Time, c *cell) bool {
	k, ok := m.directory.Keeper(c.id)
	if !ok {
		c.keeper = ""
		return false
	}
	if k != c.keeper {
		m.adopt(now, c, k)
	}
	return true
}

// adopt turns to a new keeper, which knows nothing: it gets all claims and a full
// report at once, since nothing is granted until it has them.
func (m *machine) adopt(now time.Time, c *cell, k wire.RouterID) {
	c.newKeeper(k)
	for e := c.waiting.Front(); e != nil; e = e.Next() {
		m.send(now, e.Value.(*claim))
	}
	if c.busy() {
		m.sendReport(now, c)
	}
}

// restarted treats a keeper that came back with no state as a new one.
func (m *machine) restarted(now time.Time, k wire.RouterID) {
	for _, c := range m.cells {
		if c.keeper == k {
			m.adopt(now, c, k)
		}
	}
}

// followKeepers looks after the cells where something waits or runs. Claims in a cell
// that has no keeper any more, or is gone, move to another cell of the pool.
func (m *machine) followKeepers(now time.Time) {
	for _, c := range m.cells {
		if !c.busy() || m.follow(now, c) {
			continue
		}
		m.evacuate(now, c)
	}
}

func (m *machine) evacuate(now time.Time, c *cell) {
	for c.waiting.Len() > 0 {
		to := m.choose(now, c.pool, c)
		if to == nil {
			return // wait: keepers are unknown for moments only
		}
		m.move(now, c.waiting.Front().Value.(*claim), to)
	}
}

func (m *machine) move(now time.Time, cl *claim, to *cell) {
	m.withdraw(cl)
	m.place(now, cl, to)
	m.send(now, cl)
}

// moveAfter is how many report intervals a claim stays in a cell before it may move:
// without it claims would swing between cells, each time behind the others.
const moveAfter = 1

// fill moves waiting claims of the same pool to a cell whose keeper reports spare
// slots, at most half of them a time, since the other routers see the same slots.
func (m *machine) fill(now time.Time, c *cell) {
	room := int(c.spare+1) / 2
	for _, id := range m.directory.Cells(c.pool) {
		from, ok := m.cells[id]
		if !ok || from == c || m.spare(now, from) > 0 {
			continue
		}
		for room > 0 && from.waiting.Len() > 0 {
			cl := from.waiting.Front().Value.(*claim)
			if now.Sub(cl.placed) < moveAfter*m.report {
				break
			}
			m.move(now, cl, c)
			room--
			c.spare--
		}
	}
}

// probe reports to the idle cells of a pool in which claims wait: their keepers'
// answers are how spare slots become known.
func (m *machine) probe(now time.Time) {
	for _, c := range m.cells {
		if c.waiting.Len() == 0 || now.Sub(c.waiting.Front().Value.(*claim).placed) < moveAfter*m.report {
			continue
		}
		for _, id := range m.directory.Cells(c.pool) {
			idle := m.cell(id, c.pool)
			if !idle.busy() && m.follow(now, idle) && !now.Before(idle.reportAt) {
				m.sendReport(now, idle)
			}
		}
	}
}
