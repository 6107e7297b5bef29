package claimant

import (
	"cmp"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A full report goes out after fullEvery partial ones, less often the more it holds,
// but at least after fullAtMost.
const (
	fullEvery  = 4
	fullItems  = 32 // listed items for one more partial report
	fullAtMost = 16
	// hurriedMost is how many reports go to a new keeper, one each tick, until it has
	// answered: by then it has settled without this router.
	hurriedMost = 2 * ticksPerReport
)

func (c *cell) fullDue() bool {
	items := c.waiting.Len() + len(c.running)
	return c.needFull || items == 0 || c.partial >= min(fullEvery+items/fullItems, fullAtMost)
}

// sendReport tells the keeper of a cell what waits and runs here.
func (m *machine) sendReport(now time.Time, c *cell) {
	full := c.fullDue()
	r := wire.Report{Cell: c.id, Seq: c.reports.next(c.keeper, now), Full: full}
	m.listRunning(c, &r)
	r.Waiting = waiting(c, full, r.Seq)
	r.Orgs = m.counters(c, full, c.needFull)
	if m.marks != nil {
		r.Down = m.marks()
	}
	c.reportAt = now.Add(m.pace(c))
	c.partial++
	if c.needFull {
		c.reportAt = now.Add(m.report / ticksPerReport)
		c.needSeq = cmp.Or(c.needSeq, r.Seq)
		c.hurried++
		c.needFull = c.hurried < hurriedMost
	}
	if full {
		c.partial = 0
		if c.fullSeq == 0 {
			c.fullSeq = r.Seq
		}
	}
	f := m.out.to(c.keeper)
	f.Reports = append(f.Reports, r)
}

// quietPace is the time between two reports for a quiet cell, in report intervals. A
// slot stays known at the keeper for more than twice as long, see keeper.Options.Silent.
const quietPace = 2

// pace is the time to the next report. Where nothing waits, the order of organisations
// decides nothing, and what they have been served may be known a little later.
func (m *machine) pace(c *cell) time.Duration {
	if c.backlog == 0 && c.waiting.Len() == 0 && !c.owesFull && c.answered > 0 {
		return quietPace * m.report
	}
	return m.report
}

// waiting lists the claims; in a partial report those not confirmed yet.
func waiting(c *cell, full bool, seq uint64) []wire.ClaimID {
	for _, cl := range c.unconfirmed {
		if cl.listed == 0 {
			cl.listed = seq
		}
	}
	var list []wire.ClaimID
	if !full {
		for id := range c.unconfirmed {
			list = append(list, id)
		}
		return list
	}
	for e := c.waiting.Front(); e != nil; e = e.Next() {
		list = append(list, e.Value.(*claim).id)
	}
	return list
}

// count adds a slot's service to the counters, up to what it has delivered so far.
func (m *machine) count(s *slot, service wire.Units) {
	fresh := service - s.counted
	if fresh <= 0 {
		return
	}
	s.counted = service
	m.tally(s.cell.pool).totals[s.org] += fresh
	s.cell.delivered[s.org] += fresh
}

// state takes a keeper's answer to a report.
func (m *machine) state(now time.Time, from wire.RouterID, st wire.CellState) {
	c, ok := m.cells[st.Cell]
	if !ok || c.keeper != from {
		return
	}
	if _, ours := c.reports.sentAt(st.Seq, from); !ours {
		return
	}
	if c.needSeq != 0 && st.Seq >= c.needSeq {
		c.needFull, c.needSeq = false, 0
	}
	c.spare, c.backlog, c.stateAt = st.Spare, st.Backlog, now
	c.answered = max(c.answered, st.Seq)
	if st.Unknown {
		c.needFull, c.reportAt = true, now
	}
	if c.fullSeq != 0 && st.Seq >= c.fullSeq {
		c.owesFull = false
	}
	m.confirm(now, c, st)
	if c.spare > 0 {
		m.fill(now, c)
	}
}

// confirm marks the claims that the answered report listed as known to the keeper,
// and sends those again that it doesn't know.
func (m *machine) confirm(now time.Time, c *cell, st wire.CellState) {
	for id, cl := range c.unconfirmed {
		if cl.listed != 0 && cl.listed <= st.Seq {
			delete(c.unconfirmed, id)
		}
	}
	for _, id := range st.Resend {
		cl, ok := m.claims[id]
		if !ok || cl.cell != c {
			continue
		}
		cl.listed = 0
		cl.resend = 0
		c.unconfirmed[id] = cl
		m.send(now, cl)
	}
}
