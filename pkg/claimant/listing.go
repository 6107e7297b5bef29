package claimant

import (
	"cmp"
	"slices"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// listRunning lists the slots in use; in a partial report without organisation and
// upstream where an answered report had them.
//
// Slots without progress are listed too. The failure it guards against: an engine works on
// a long prompt for seconds and delivers nothing; left out of the reports, its slot would
// count as lost at the keeper, and the engine would get one request too many.
func (m *machine) listRunning(c *cell, r *wire.Report) {
	var known []*slot
	for _, s := range c.running {
		service := s.service()
		m.count(s, service)
		s.told = service
		if !r.Full && s.listed != 0 && s.listed <= c.answered {
			known = append(known, s)
			continue
		}
		if s.listed == 0 {
			s.listed = r.Seq
		}
		r.Running = append(r.Running, wire.Running{
			ID: s.id, Org: s.org, Upstream: s.upstream,
			Cost: service, Alone: s.alone,
		})
	}
	listProgress(known, r)
}

// listProgress numbers the slots from the oldest one, which takes a byte or two for each.
func listProgress(known []*slot, r *wire.Report) {
	if len(known) == 0 {
		return
	}
	slices.SortFunc(known, func(a, b *slot) int { return cmp.Compare(a.id, b.id) })
	r.Base = known[0].id
	for _, s := range known {
		r.Progress = append(r.Progress, wire.Progress{Offset: uint64(s.id - r.Base), Cost: s.told})
	}
}

// turnOrgs is the number of unchanged counters in a full report. A router serves hundreds
// of organisations; all of them in every full report of every cell were most of its bytes.
const turnOrgs = 32

// counters lists what organisations were served in the pool's other cells: to a new keeper all, in a
// partial report those that changed. A lost report is made good by the full ones, which
// list the others in turn. A counter of 0 is listed too: the keeper charges what a counter
// grows by after the first value it saw.
func (m *machine) counters(c *cell, full, fresh bool) []wire.OrgCounter {
	var list []wire.OrgCounter
	t := m.tally(c.pool)
	turn := t.turn(c, full)
	for i, org := range t.orgs {
		elsewhere := t.totals[org] - c.delivered[org]
		told, known := c.told[org]
		if known && elsewhere == told && !fresh && !turn(i) {
			continue
		}
		c.told[org] = elsewhere
		o := wire.OrgCounter{Org: org, Elsewhere: elsewhere}
		if full {
			// Only a settling keeper uses it, and that waits for a full report.
			o.Virtual = c.virtual[org]
		}
		list = append(list, o)
	}
	return list
}

// turn tells which organisations' turn it is in a full report of a cell.
func (t *tally) turn(c *cell, full bool) func(i int) bool {
	if !full || len(t.orgs) == 0 {
		return func(int) bool { return false }
	}
	first := c.nextOrg % len(t.orgs)
	c.nextOrg = first + turnOrgs
	return func(i int) bool { return (i-first+len(t.orgs))%len(t.orgs) < turnOrgs }
}
