package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Report takes in a router's view of the cell and answers it.
func (k *Keeper) Report(from wire.RouterID, inc wire.Incarnation, w wire.Report, now time.Time) wire.CellState {
	state := wire.CellState{Cell: k.o.Cell, Seq: w.Seq}
	r := k.life(from, inc, now)
	if r != nil && w.Seq > r.seq {
		r.seq = w.Seq
		state.Resend = k.learn(r, &w, now)
		state.Unknown = k.progress(r, &w, now)
	}
	state.Spare = uint32(k.Spare(now))
	state.Backlog = uint32(k.Backlog())
	return state
}

func (k *Keeper) learn(r *router, w *wire.Report, now time.Time) (resend []wire.ClaimID) {
	for _, m := range w.Down {
		k.Mark(m, now)
	}
	for _, c := range w.Orgs {
		k.counter(r, c)
	}
	for i := range w.Running {
		k.running(r, &w.Running[i], now)
	}
	resend = k.waiting(r, w.Waiting, now)
	if w.Full {
		if !r.full {
			r.full, k.lastFull = true, now
		}
		k.omitted(r, w, now)
	}
	k.repeat(r, now)
	return resend
}

// counter charges what the router delivered through other cells since its last report.
// The first value that a new keeper sees is history, charged by other keepers into
// counters it can't compare with; charging it would starve the organisation here. Of a
// life that began while this keeper watched, all is new.
//
// Virtual counters are merged only while settling: later they would undo credits, since
// routers keep the largest counter they saw, from before the credit.
func (k *Keeper) counter(r *router, c wire.OrgCounter) {
	seen, known := r.elsewhere[c.Org]
	if !known && !r.reborn {
		seen = c.Elsewhere
	}
	if c.Elsewhere >= seen {
		k.order.Charge(c.Org, c.Elsewhere-seen)
		r.elsewhere[c.Org] = c.Elsewhere
	}
	if k.settling {
		k.order.Merge(c.Org, c.Virtual)
	}
}

// running takes in one request that runs at the router. The router is right: it knows
// on which upstream the request runs, also when another keeper granted it.
func (k *Keeper) running(r *router, w *wire.Running, now time.Time) {
	s := r.slots[w.ID]
	if s == nil {
		s = k.adopt(r, w, now)
	}
	if s == nil {
		return
	}
	if s.upstream.name != w.Upstream {
		k.vacate(s)
		k.occupy(s, k.upstream(w.Upstream))
	}
	k.runs(s, w.Cost, now)
}

// progress takes in the slots that are listed without organisation and upstream, and
// reports whether one of them isn't known here.
//
// The failure it guards against: the keeping of a cell goes away and comes back without
// the router's noticing. The router goes on as if its slots were known; the new keeper
// knows none, takes the upstreams for free and fills them twice. Asked for a Full
// report, the router lists all slots whole within a round trip.
func (k *Keeper) progress(r *router, w *wire.Report, now time.Time) (unknown bool) {
	for _, p := range w.Progress {
		id := w.Base + wire.ClaimID(p.Offset)
		if s := r.slots[id]; s != nil {
			k.runs(s, p.Cost, now)
			continue
		}
		unknown = unknown || !k.recent.final(r.key(id))
	}
	return unknown
}

// runs notes that a slot is in use and what it has delivered.
func (k *Keeper) runs(s *slot, cost wire.Units, now time.Time) {
	s.started, s.omitted = true, false
	s.news = now
	s.expires = time.Time{}
	s.cost = max(s.cost, boundCost(cost))
	k.deliver(s, s.cost)
}

// adopt enters running work that this keeper holds no slot for, nil when a report older
// than its Done lists it. A Done that called the grant unused doesn't hide work that cost
// something: it turned down this keeper's grant for a request that runs under another's.
// While settling nothing is charged: what was delivered so far is in the merged counter.
func (k *Keeper) adopt(r *router, w *wire.Running, now time.Time) *slot {
	id := r.key(w.ID)
	e, known := k.recent.get(id)
	if known && e.final && e.upstream == w.Upstream && !(e.unused && w.Cost > 0) {
		return nil
	}
	if c := r.waiting[w.ID]; c != nil {
		k.drop(c)
	}
	k.recent.forget(id)
	s := &slot{key: id, org: w.Org, alone: w.Alone, granted: now, sent: now, charged: e.charged}
	if k.settling {
		s.charged = boundCost(w.Cost)
	}
	s.expected = max(k.mean-boundCost(w.Cost), 0)
	k.order.Expect(s.org, s.expected)
	k.hold(r, s, k.upstream(w.Upstream))
	return s
}

// waiting compares the claims that the router wants with those held here, and returns
// those that must be sent again.
func (k *Keeper) waiting(r *router, ids []wire.ClaimID, now time.Time) (resend []wire.ClaimID) {
	for _, id := range ids {
		switch {
		case r.slots[id] != nil:
			k.renew(r, r.slots[id], now)
		case r.waiting[id] != nil:
		case k.recent.final(r.key(id)):
		default:
			resend = append(resend, id)
		}
	}
	return resend
}

// omitted compares a Full report with what is held here: cases 2 and 3 of the package's
// rule. A waiting claim is dropped only by the second report in a row that omits it: the
// first may have been sent before the claim.
func (k *Keeper) omitted(r *router, w *wire.Report, now time.Time) {
	listed := make(map[wire.ClaimID]bool, len(w.Running)+len(w.Waiting))
	for i := range w.Running {
		listed[w.Running[i].ID] = true
	}
	for _, id := range w.Waiting {
		listed[id] = true
	}
	for _, s := range sortedSlots(r.slots) {
		switch {
		case listed[s.id]:
		case s.started || s.lapsed(&k.o, now):
			k.giveUp(s)
		default:
			s.omitted = true // freed by sweep when the grant has lapsed
		}
	}
	for _, c := range sortedClaims(r.waiting) {
		if listed[c.id] {
			c.omitted = 0
			continue
		}
		if c.omitted++; c.omitted > 1 {
			k.drop(c)
		}
	}
}
