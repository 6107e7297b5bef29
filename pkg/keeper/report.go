package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Report processes a router's report on the cell and returns the answer.
func (k *Keeper) Report(from wire.RouterID, inc wire.Incarnation, w wire.Report, now time.Time) wire.CellState {
	state := wire.CellState{Cell: k.options.Cell, Seq: w.Seq}
	r := k.routerFor(from, inc, now)
	if r != nil && w.Seq > r.lastSeq {
		r.lastSeq = w.Seq
		state.Resend = k.applyReport(r, &w, now)
		state.Unknown = k.applyProgress(r, &w, now)
	}
	state.Spare = uint32(k.Spare(now))
	state.Backlog = uint32(k.Backlog())
	return state
}

func (k *Keeper) applyReport(r *router, w *wire.Report, now time.Time) (resend []wire.ClaimID) {
	for _, m := range w.Down {
		k.Mark(m, now)
	}
	for _, c := range w.Orgs {
		k.applyCounter(r, c)
	}
	for i := range w.Running {
		k.applyRunning(r, &w.Running[i], now)
	}
	resend = k.compareWaiting(r, w.Waiting, now)
	if w.Full {
		if !r.reported {
			r.reported, k.lastFirstReport = true, now
		}
		k.applyOmissions(r, w, now)
	}
	k.resendUnconfirmed(r, now)
	return resend
}

// applyCounter charges the service that the router delivered through other cells since its
// last report. The first value that a new keeper sees is not charged: other keepers charged
// it to counters that can't be compared with these, and charging it would starve the
// organisation here. For an incarnation that began under this keeper all of it is new.
//
// Virtual counters are merged only during a takeover. Later a merge would undo credits,
// since routers keep the largest counter that they saw, which can date from before the
// credit.
func (k *Keeper) applyCounter(r *router, c wire.OrgCounter) {
	charged, known := r.elsewhere[c.Org]
	if !known && !r.restarted {
		charged = c.Elsewhere
	}
	if c.Elsewhere >= charged {
		k.order.Charge(c.Org, c.Elsewhere-charged)
		r.elsewhere[c.Org] = c.Elsewhere
	}
	if k.takingOver {
		k.order.Merge(c.Org, c.Virtual)
	}
}

// applyRunning processes one request that runs at the router. The router is authoritative:
// it knows on which upstream the request runs, even when another keeper granted it.
func (k *Keeper) applyRunning(r *router, w *wire.Running, now time.Time) {
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
	k.confirmRunning(s, w.Cost, now)
}

// applyProgress processes the slots that are listed without organisation and upstream, and
// reports whether one of them is unknown here.
//
// The failure it guards against: a router loses a cell and gets it back, and another router
// doesn't notice. That router assumes that its slots are known, but the new keeper knows
// none of them, considers the upstreams free and fills them twice. When it is asked for a
// Full report, the router lists all slots with all fields within a round trip.
func (k *Keeper) applyProgress(r *router, w *wire.Report, now time.Time) (unknown bool) {
	for _, p := range w.Progress {
		id := w.Base + wire.ClaimID(p.Offset)
		if s := r.slots[id]; s != nil {
			k.confirmRunning(s, p.Cost, now)
			continue
		}
		unknown = unknown || !k.ended.isFinal(r.key(id))
	}
	return unknown
}

// confirmRunning records that a slot is in use and what it has delivered.
func (k *Keeper) confirmRunning(s *slot, cost wire.Units, now time.Time) {
	s.started, s.omitted = true, false
	s.lastConfirmed = now
	s.freeAt = time.Time{}
	s.recordProgress(boundCost(cost), now)
	s.cost = max(s.cost, boundCost(cost))
	k.chargeService(s, s.cost)
}

// adopt registers running work for which this keeper holds no slot. It returns nil when the
// report is older than the claim's Done. A Done with an unused grant doesn't hide work that
// has a cost: the router returned this keeper's grant for a request that runs under another
// keeper's. During a takeover nothing is charged, since the merged counter already contains
// the service delivered so far.
func (k *Keeper) adopt(r *router, w *wire.Running, now time.Time) *slot {
	id := r.key(w.ID)
	last, known := k.ended.get(id)
	if known && last.final && last.upstream == w.Upstream && !(last.unused && w.Cost > 0) {
		return nil
	}
	if c := r.waiting[w.ID]; c != nil {
		k.drop(c)
	}
	k.ended.remove(id)
	s := &slot{claimKey: id, org: w.Org, alone: w.Alone, grantedAt: now, lastSent: now, charged: last.charged}
	if k.takingOver {
		s.charged = boundCost(w.Cost)
	}
	s.expectedCost = max(k.meanCost-boundCost(w.Cost), 0)
	k.order.Expect(s.org, s.expectedCost)
	k.addSlot(r, s, k.upstream(w.Upstream))
	return s
}

// compareWaiting compares the router's waiting claims with those held here, and returns
// those that the router must send again.
func (k *Keeper) compareWaiting(r *router, ids []wire.ClaimID, now time.Time) (resend []wire.ClaimID) {
	for _, id := range ids {
		switch {
		case r.slots[id] != nil:
			k.resendGrant(r, r.slots[id], now)
		case r.waiting[id] != nil:
		case k.ended.isFinal(r.key(id)):
		default:
			resend = append(resend, id)
		}
	}
	return resend
}

// applyOmissions frees slots and claims that a Full report omits, see cases 2 and 3 in the
// package documentation. A waiting claim is dropped by the second consecutive report that
// omits it, since the first may have been sent before the claim.
func (k *Keeper) applyOmissions(r *router, w *wire.Report, now time.Time) {
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
		case s.started || s.grantExpired(&k.options, now):
			k.reclaim(s)
		default:
			s.omitted = true // freed by sweep when the grant has expired
		}
	}
	for _, c := range sortedClaims(r.waiting) {
		if listed[c.id] {
			c.omissions = 0
			continue
		}
		if c.omissions++; c.omissions > 1 {
			k.drop(c)
		}
	}
}
