package claimant

import (
	"cmp"
	"slices"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// listRunning lists the slots in use. A partial report omits the organisation and upstream
// of a slot if an answered report contained them.
//
// Slots without progress are listed too. The failure it guards against: an engine works on
// a long prompt for seconds and delivers nothing. If the slot were omitted, the keeper would
// consider it lost, and the engine would get one request too many.
func (m *stateMachine) listRunning(c *cell, r *wire.Report) {
	var known []*slot
	for _, s := range c.running {
		service := s.service()
		m.countService(s, service)
		s.reported = service
		if !r.Full && s.listedSeq != 0 && s.listedSeq <= c.answeredSeq {
			known = append(known, s)
			continue
		}
		if s.listedSeq == 0 {
			s.listedSeq = r.Seq
		}
		r.Running = append(r.Running, wire.Running{
			ID: s.id, Org: s.org, Upstream: s.upstream,
			Cost: service, Alone: s.alone,
		})
	}
	listProgress(known, r)
}

// listProgress lists slots by their offset from the oldest ID, which takes a byte or two each.
func listProgress(known []*slot, r *wire.Report) {
	if len(known) == 0 {
		return
	}
	slices.SortFunc(known, func(a, b *slot) int { return cmp.Compare(a.id, b.id) })
	r.Base = known[0].id
	for _, s := range known {
		r.Progress = append(r.Progress, wire.Progress{Offset: uint64(s.id - r.Base), Cost: s.reported})
	}
}

// orgsPerFullReport is the number of unchanged counters in a full report. A router serves
// hundreds of organisations; listing all of them in every full report of every cell
// would take most of its control bytes.
const orgsPerFullReport = 32

// listCounters lists the service of organisations through the pool's other cells: all
// counters for a new keeper, the changed ones in a partial report. Full reports list the
// others in rotation, which makes good a lost report. A counter of 0 is listed too: the
// keeper charges the growth of a counter since the first value that it saw.
func (m *stateMachine) listCounters(c *cell, full, fresh bool) []wire.OrgCounter {
	var list []wire.OrgCounter
	u := m.usage(c.pool)
	inRotation := u.rotation(c, full)
	for i, org := range u.orgs {
		elsewhere := u.totals[org] - c.delivered[org]
		reported, known := c.reported[org]
		if known && elsewhere == reported && !fresh && !inRotation(i) {
			continue
		}
		c.reported[org] = elsewhere
		o := wire.OrgCounter{Org: org, Elsewhere: elsewhere}
		if full {
			// Only a keeper that is taking over uses it, and that waits for a full report.
			o.Virtual = c.virtual[org]
		}
		list = append(list, o)
	}
	return list
}

// rotation returns which organisations are listed in rotation in a full report of a cell.
func (u *poolUsage) rotation(c *cell, full bool) func(i int) bool {
	if !full || len(u.orgs) == 0 {
		return func(int) bool { return false }
	}
	first := c.nextOrg % len(u.orgs)
	c.nextOrg = first + orgsPerFullReport
	return func(i int) bool { return (i-first+len(u.orgs))%len(u.orgs) < orgsPerFullReport }
}
