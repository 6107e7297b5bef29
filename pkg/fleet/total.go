package fleet

import (
	"maps"
	"time"
)

// LifeKey is an instance in one of its lives, as reports name it.
type LifeKey struct {
	Instance string
	Life     uint32
}

// Work is what several routers do and have seen: work in progress, traffic, the pauses of
// streams, and what they give to the instances of services.
type Work struct {
	Loads   map[LifeKey]InstanceLoad
	Uses    map[string]Use
	Pauses  map[string]Pauses
	Inflows map[string]Inflow
}

func newWork() Work {
	return Work{Loads: make(map[LifeKey]InstanceLoad), Uses: make(map[string]Use), Pauses: make(map[string]Pauses), Inflows: make(map[string]Inflow)}
}

// add counts the work of r, which came age ago, sign times: 1 adds it, -1 takes it out again.
func (w Work) add(r *Report, sign int, age time.Duration) {
	for _, f := range r.Inflows {
		total := w.Inflows[f.Service]
		total.Service = f.Service
		total.Rate += float64(sign) * f.Rate
		total.Spare += float64(sign) * f.Spare
		total.Unseen += float64(sign) * (f.Unseen + f.Rate*age.Seconds())
		w.Inflows[f.Service] = total
	}
	for _, l := range r.Loads {
		key := LifeKey{Instance: l.Instance, Life: l.Life}
		total := w.Loads[key]
		total.Instance, total.Life = l.Instance, l.Life
		total.Running += sign * l.Running
		total.Unread += sign * l.Unread
		total.Memory += sign * l.Memory
		total.Fragile += sign * l.Fragile
		total.Long += sign * l.Long
		total.ExpectedMs += sign * l.ExpectedMs
		total.SeenMs += sign * l.SeenMs
		w.Loads[key] = total
	}
	for _, u := range r.Uses {
		total := w.Uses[u.Organisation]
		total.Organisation = u.Organisation
		total.Asked += float64(sign) * u.Asked
		total.Got += float64(sign) * u.Got
		w.Uses[u.Organisation] = total
	}
	for _, p := range r.Pauses {
		w.Pauses[p.Service] = w.Pauses[p.Service].plus(p, sign)
	}
}

// clone gives a copy that shares nothing with w but the pauses' lists, which are never changed.
func (w Work) clone() Work {
	return Work{Loads: maps.Clone(w.Loads), Uses: maps.Clone(w.Uses), Pauses: maps.Clone(w.Pauses), Inflows: maps.Clone(w.Inflows)}
}

// age lets the sum grow older by d.
func (w Work) age(d time.Duration) {
	for service, f := range w.Inflows {
		f.Unseen += f.Rate * d.Seconds()
		w.Inflows[service] = f
	}
}

// leastUse is the use below which an organisation isn't told of, in tokens a second. Means
// that decay never reach 0.
const leastUse = 0.5

// fill puts the sum into a report.
func (w Work) fill(r *Report) {
	r.Loads, r.Uses, r.Pauses, r.Inflows = nil, nil, nil, nil
	for _, f := range w.Inflows {
		if f.Rate > 0 {
			r.Inflows = append(r.Inflows, f)
		}
	}
	for _, l := range w.Loads {
		if !l.empty() {
			r.Loads = append(r.Loads, l)
		}
	}
	for _, u := range w.Uses {
		if u.Asked >= leastUse || u.Got >= leastUse {
			r.Uses = append(r.Uses, u)
		}
	}
	for _, p := range w.Pauses {
		r.Pauses = append(r.Pauses, p)
	}
}

// usesKept is how long after its hub's last report a router goes by the use that it told
// of, unless it hears of more itself. Shares are means of two seconds; work in progress is
// over long before.
const usesKept = 5 * time.Second

// others adds up what the other routers have in progress and what organisations get there.
//
// Guard: a router that gets too little processor misses its hub for seconds, while one or
// two others are heard of. Taken for all there is, they make an organisation that gets many
// times its share seem to get just that, and it is served at the cost of all others.
func (f *Fleet) others(now time.Time) Work {
	age := now.Sub(f.fromHubAt)
	if f.fromHub == nil || age >= usesKept || f.last.hub {
		return f.heard(now)
	}
	told := newWork()
	told.add(f.fromHub, 1, age)
	if age < aliveFor && f.last.own != "" {
		return told
	}
	total := f.heard(now)
	total.Uses = maps.Clone(total.Uses)
	for org, use := range told.Uses {
		if total.Uses[org].Asked < use.Asked {
			total.Uses[org] = use
		}
	}
	return total
}

// sumEvery is how long the sum of what was heard holds in a fleet with hubs. A hub gets
// hundreds of reports a second, and needs the sum for each answer.
const sumEvery = 20 * time.Millisecond

// heard adds up what this router has heard of itself. Never what a hub told: two routers
// that took each other for hubs would each count what the other counted, without end.
//
// The result is shared and must not be changed.
func (f *Fleet) heard(now time.Time) Work {
	if age := now.Sub(f.sumAt); !f.last.direct && age >= 0 && age < sumEvery {
		return f.sum
	}
	total := newWork()
	for _, p := range f.peers {
		p.counted = nil
		if p.report != nil && p.counts(now) {
			p.counted, p.countedAge = p.report, now.Sub(p.heard)
			total.add(p.report, 1, p.countedAge)
		}
	}
	f.sum, f.sumAt = total, now
	return total
}

// sumWithout gives a sum of its own of what was heard of all but p.
func (f *Fleet) sumWithout(p *peer, now time.Time) Work {
	total := f.heard(now).clone()
	total.age(now.Sub(f.sumAt))
	if p.counted != nil {
		total.add(p.counted, -1, p.countedAge+now.Sub(f.sumAt))
	}
	return total
}

// group adds up the work of those whose hub this router is.
func (f *Fleet) group(now time.Time) Work {
	total := newWork()
	for _, p := range f.peers {
		if p.report != nil && p.inGroup(now) {
			total.add(p.report, 1, now.Sub(p.heard))
		}
	}
	return total
}

// naming is a list of routers with its digest, as of one moment.
type naming struct {
	at     time.Time
	list   []Entry
	digest uint64
}

// entriesOf gives the routers of a scope with a digest of the list, which must not be changed.
func (f *Fleet) entriesOf(scope Scope, self Entry, now time.Time) ([]Entry, uint64) {
	last := &f.named[scope]
	if age := now.Sub(last.at); age >= 0 && age < sumEvery {
		return last.list, last.digest
	}
	list := make([]Entry, 1, len(last.list)+1)
	list[0] = self
	for _, p := range f.peers {
		if scope == ScopeGroup && p.inGroup(now) || scope == ScopeAll && p.alive(now) {
			list = append(list, p.entry())
		}
	}
	*last = naming{at: now, list: list, digest: digest(list)}
	return last.list, last.digest
}
