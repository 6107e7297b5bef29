package claimant

import (
	"cmp"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A full report is sent after minPartialReports partial ones, less often the more it
// holds, but at the latest after maxPartialReports.
const (
	minPartialReports = 4
	itemsPerPartial   = 32 // listed items that allow one more partial report
	maxPartialReports = 16
	// maxUrgentReports is how many reports a new keeper gets, one per tick, until it has
	// answered. After that it has finished its takeover without this router.
	maxUrgentReports = 2 * ticksPerReport
)

func (c *cell) fullDue() bool {
	items := c.waiting.Len() + len(c.running)
	return c.needFull || items == 0 || c.partialReports >= min(minPartialReports+items/itemsPerPartial, maxPartialReports)
}

// sendReport reports to the keeper of a cell what waits and runs here.
func (m *stateMachine) sendReport(now time.Time, c *cell) {
	full := c.fullDue()
	r := wire.Report{Cell: c.id, Seq: c.reports.next(c.keeper, now), Full: full}
	m.listRunning(c, &r)
	r.Waiting = listWaiting(c, full, r.Seq)
	r.Orgs = m.listCounters(c, full, c.needFull)
	if m.marks != nil {
		r.Down = m.marks()
	}
	c.reportAt = now.Add(m.nextInterval(c))
	c.partialReports++
	if c.needFull {
		c.reportAt = now.Add(m.reportInterval / ticksPerReport)
		c.needFullSeq = cmp.Or(c.needFullSeq, r.Seq)
		c.urgentReports++
		c.needFull = c.urgentReports < maxUrgentReports
	}
	if full {
		c.partialReports = 0
		if c.releaseSeq == 0 {
			c.releaseSeq = r.Seq
		}
	}
	f := m.out.to(c.keeper)
	f.Reports = append(f.Reports, r)
}

// quietIntervals is the number of report intervals between two reports for a cell in which
// nothing waits. A keeper remembers a slot for more than twice as long, see keeper.Options.SilenceTimeout.
const quietIntervals = 2

// nextInterval returns the time to the next report. Where nothing waits, the order of
// organisations decides nothing, and their service may be reported a little later.
func (m *stateMachine) nextInterval(c *cell) time.Duration {
	if c.backlog == 0 && c.waiting.Len() == 0 && !c.releasePending && c.answeredSeq > 0 {
		return quietIntervals * m.reportInterval
	}
	return m.reportInterval
}

// listWaiting lists the waiting claims; in a partial report only the unconfirmed ones.
func listWaiting(c *cell, full bool, seq uint64) []wire.ClaimID {
	for _, cl := range c.unconfirmed {
		if cl.listedSeq == 0 {
			cl.listedSeq = seq
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

// countService adds a slot's service since the last call to the counters.
func (m *stateMachine) countService(s *slot, service wire.Units) {
	fresh := service - s.counted
	if fresh <= 0 {
		return
	}
	s.counted = service
	m.usage(s.cell.pool).totals[s.org] += fresh
	s.cell.delivered[s.org] += fresh
}

// handleState processes a keeper's answer to a report.
func (m *stateMachine) handleState(now time.Time, from wire.RouterID, st wire.CellState) {
	c, ok := m.cells[st.Cell]
	if !ok || c.keeper != from {
		return
	}
	if _, ours := c.reports.sentAt(st.Seq, from); !ours {
		return
	}
	if c.needFullSeq != 0 && st.Seq >= c.needFullSeq {
		c.needFull, c.needFullSeq = false, 0
	}
	c.spare, c.backlog, c.stateAt = st.Spare, st.Backlog, now
	c.answeredSeq = max(c.answeredSeq, st.Seq)
	if st.Unknown {
		c.needFull, c.reportAt = true, now
	}
	if c.releaseSeq != 0 && st.Seq >= c.releaseSeq {
		c.releasePending = false
	}
	m.confirm(now, c, st)
	if c.spare > 0 {
		m.fillSpareSlots(now, c)
	}
}

// confirm marks the claims that the answered report listed as known to the keeper, and
// sends those again that it doesn't know.
func (m *stateMachine) confirm(now time.Time, c *cell, st wire.CellState) {
	for id, cl := range c.unconfirmed {
		if cl.listedSeq != 0 && cl.listedSeq <= st.Seq {
			delete(c.unconfirmed, id)
		}
	}
	for _, id := range st.Resend {
		cl, ok := m.claims[id]
		if !ok || cl.cell != c {
			continue
		}
		cl.listedSeq = 0
		cl.resendBackoff = 0
		c.unconfirmed[id] = cl
		m.sendClaim(now, cl)
	}
}
