package fleet

import (
	"maps"
	"time"
)

// LifeKey identifies an instance in one of its lives.
type LifeKey struct {
	Instance string
	Life     uint32
}

// Totals is the combined work of several routers: work in flight, traffic, pauses of streams, and
// the work that they assign to the instances of services.
type Totals struct {
	Loads   map[LifeKey]InstanceLoad
	Uses    map[string]Use
	Pauses  map[string]Pauses
	Inflows map[string]Inflow
}

func newTotals() Totals {
	return Totals{Loads: make(map[LifeKey]InstanceLoad), Uses: make(map[string]Use), Pauses: make(map[string]Pauses), Inflows: make(map[string]Inflow)}
}

// add adds the work in r, a report that arrived age ago, sign times: 1 adds it, -1 subtracts it.
func (t Totals) add(r *Report, sign int, age time.Duration) {
	for _, f := range r.Inflows {
		total := t.Inflows[f.Service]
		total.Service = f.Service
		total.Rate += float64(sign) * f.Rate
		total.OverShare += float64(sign) * f.OverShare
		total.Unseen += float64(sign) * (f.Unseen + f.Rate*age.Seconds())
		t.Inflows[f.Service] = total
	}
	for _, l := range r.Loads {
		key := LifeKey{Instance: l.Instance, Life: l.Life}
		total := t.Loads[key]
		total.Instance, total.Life = l.Instance, l.Life
		total.Running += sign * l.Running
		total.PrefillTokens += sign * l.PrefillTokens
		total.KVTokens += sign * l.KVTokens
		total.PauseWeight += sign * l.PauseWeight
		total.LongPrompts += sign * l.LongPrompts
		total.BaseMs += sign * l.BaseMs
		total.ActualMs += sign * l.ActualMs
		t.Loads[key] = total
	}
	for _, u := range r.Uses {
		total := t.Uses[u.Organisation]
		total.Organisation = u.Organisation
		total.Asked += float64(sign) * u.Asked
		total.Got += float64(sign) * u.Got
		t.Uses[u.Organisation] = total
	}
	for _, p := range r.Pauses {
		t.Pauses[p.Service] = t.Pauses[p.Service].plus(p, sign)
	}
}

// clone returns a copy that shares nothing with the original but the pauses' slices, which are never
// changed.
func (t Totals) clone() Totals {
	return Totals{Loads: maps.Clone(t.Loads), Uses: maps.Clone(t.Uses), Pauses: maps.Clone(t.Pauses), Inflows: maps.Clone(t.Inflows)}
}

// advance ages the totals by d.
func (t Totals) advance(d time.Duration) {
	for service, f := range t.Inflows {
		f.Unseen += f.Rate * d.Seconds()
		t.Inflows[service] = f
	}
}

// minUse is the use in tokens per second below which an organisation is left out. Decaying
// averages never reach 0.
const minUse = 0.5

// fill sets the work in r to the totals.
func (t Totals) fill(r *Report) {
	r.Loads, r.Uses, r.Pauses, r.Inflows = nil, nil, nil, nil
	for _, f := range t.Inflows {
		if f.Rate > 0 {
			r.Inflows = append(r.Inflows, f)
		}
	}
	for _, l := range t.Loads {
		if !l.empty() {
			r.Loads = append(r.Loads, l)
		}
	}
	for _, u := range t.Uses {
		if u.Asked >= minUse || u.Got >= minUse {
			r.Uses = append(r.Uses, u)
		}
	}
	for _, p := range t.Pauses {
		r.Pauses = append(r.Pauses, p)
	}
}

// hubUsesMaxAge is how long after its hub's last report a router applies the uses in it, unless
// it receives higher ones itself. Shares are averages over two seconds, whereas work in flight
// ends long before.
const hubUsesMaxAge = 5 * time.Second

// othersTotals returns the totals of the other routers.
//
// A CPU-starved router misses its hub's reports for seconds, while one or two other routers
// report to it. If these were taken for the whole fleet, an organisation that receives many times
// its fair share would seem to receive just that, and would be served at the cost of all others.
func (f *Fleet) othersTotals(now time.Time) Totals {
	age := now.Sub(f.hubReportAt)
	if f.hubReport == nil || age >= hubUsesMaxAge || f.role.hub {
		return f.sumReports(now)
	}
	fromHub := newTotals()
	fromHub.add(f.hubReport, 1, age)
	if age < aliveTimeout && f.role.ownHub != "" {
		return fromHub
	}
	total := f.sumReports(now)
	total.Uses = maps.Clone(total.Uses)
	for org, use := range fromHub.Uses {
		if total.Uses[org].Asked < use.Asked {
			total.Uses[org] = use
		}
	}
	return total
}

// sumMaxAge is how long the sum of reports is reused in a fleet with hubs. A hub receives
// hundreds of reports per second, and needs the sum for each answer.
const sumMaxAge = 20 * time.Millisecond

// sumReports adds up the reports of routers' own work or their groups', never a hub's totals: two
// routers that took each other for hubs would each count what the other counted, without end.
//
// The result is shared and must not be changed.
func (f *Fleet) sumReports(now time.Time) Totals {
	if age := now.Sub(f.sumAt); !f.role.direct && age >= 0 && age < sumMaxAge {
		return f.sum
	}
	total := newTotals()
	for _, p := range f.peers {
		p.inSum = nil
		if p.report != nil && p.countsInSum(now) {
			p.inSum, p.inSumAge = p.report, now.Sub(p.reportAt)
			total.add(p.report, 1, p.inSumAge)
		}
	}
	f.sum, f.sumAt = total, now
	return total
}

// sumWithout returns the sum of all reports but p's, as a copy that the caller may change.
func (f *Fleet) sumWithout(p *peer, now time.Time) Totals {
	total := f.sumReports(now).clone()
	total.advance(now.Sub(f.sumAt))
	if p.inSum != nil {
		total.add(p.inSum, -1, p.inSumAge+now.Sub(f.sumAt))
	}
	return total
}

// sumGroup adds up the work of the members whose hub this router is.
func (f *Fleet) sumGroup(now time.Time) Totals {
	total := newTotals()
	for _, p := range f.peers {
		if p.report != nil && p.inGroup(now) {
			total.add(p.report, 1, now.Sub(p.reportAt))
		}
	}
	return total
}

// memberList is a list of routers with its digest and a description of them, as of one moment.
type memberList struct {
	at     time.Time
	list   []MemberState
	digest uint64
	floor  listFloor
}

// membersOf returns the routers of a scope, which must not be changed. The list and its floor are of the
// same moment, as a receiver takes the floor for that of all who are listed.
func (f *Fleet) membersOf(scope Scope, self MemberState, now time.Time) *memberList {
	cached := &f.memberLists[scope]
	if age := now.Sub(cached.at); age >= 0 && age < sumMaxAge {
		return cached
	}
	list := make([]MemberState, 1, len(cached.list)+1)
	list[0] = self
	for _, p := range f.peers {
		if scope == ScopeGroup && p.inGroup(now) || scope == ScopeAll && p.alive(now) {
			list = append(list, p.state())
		}
	}
	*cached = memberList{at: now, list: list, digest: digest(list)}
	cached.floor = f.listFloor(scope, now)
	return cached
}
