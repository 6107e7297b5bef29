package keeper

import (
	"math"
	"time"

	"github.com/flamingowind/flamingowind/pkg/limit"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Done takes back a slot and settles its cost. It ends the claim for good; doubled
// copies change nothing.
func (k *Keeper) Done(from wire.RouterID, inc wire.Incarnation, d wire.Done, now time.Time) {
	r := k.life(from, inc, now)
	if r == nil || k.recent.final(r.key(d.ID)) {
		return
	}
	s := r.slots[d.ID]
	if d.Outcome == wire.OutcomeDied && s != nil && s.claim != nil {
		k.heldBack.died(s.claim.Content, now)
	}
	if s != nil && d.Outcome == wire.OutcomeUnused && d.Upstream != "" && d.Upstream != s.upstream.name {
		// The router had two grants, of two keepers, and turns the other one down.
		return
	}
	if c := r.waiting[d.ID]; c != nil {
		k.drop(c)
	}
	if s == nil {
		k.doneLate(r.key(d.ID), d)
		return
	}
	k.observe(s, d, now)
	k.drained.add(now)
	if d.Outcome == wire.OutcomeServed {
		k.learnCost(boundCost(d.Cost))
	}
	k.release(s, k.settledCost(s, d))
	k.recent.add(s.key, ended{upstream: s.upstream.name, org: s.org, final: true, unused: d.Outcome == wire.OutcomeUnused})
}

// doneLate settles a claim whose slot was given up before its Done came.
func (k *Keeper) doneLate(id key, d wire.Done) {
	if e, ok := k.recent.get(id); ok {
		k.order.Charge(e.org, boundCost(d.Cost)-e.charged)
	}
	k.recent.add(id, ended{upstream: d.Upstream, final: true, unused: d.Outcome == wire.OutcomeUnused})
}

func (k *Keeper) observe(s *slot, d wire.Done, now time.Time) {
	s.upstream.limiter.Record(limit.Sample{
		Org:     s.org,
		Outcome: d.Outcome,
		FirstMs: d.FirstMs,
		StepUs:  d.StepUs,
		Granted: s.granted,
		Running: s.upstream.running,
	}, now)
}

// settledCost is never under what the router reported while the work ran.
func (k *Keeper) settledCost(s *slot, d wire.Done) wire.Units {
	if d.Outcome == wire.OutcomeUnused {
		return s.cost
	}
	return max(boundCost(d.Cost), s.cost)
}

// deliver charges what the work has taken so far and expects that much less.
func (k *Keeper) deliver(s *slot, cost wire.Units) {
	more := cost - s.charged
	if more <= 0 {
		return
	}
	k.order.Charge(s.org, more)
	s.charged = cost
	k.expectLess(s, min(more, s.expected))
}

func (k *Keeper) expectLess(s *slot, units wire.Units) {
	k.order.Expect(s.org, -units)
	s.expected -= units
}

// release frees a slot whose whole cost is known.
func (k *Keeper) release(s *slot, cost wire.Units) {
	k.deliver(s, cost)
	k.remove(s)
}

// giveUp frees a slot that the router didn't give back. What it was seen to deliver
// stays charged, and a late Done charges the rest.
func (k *Keeper) giveUp(s *slot) {
	k.remove(s)
	k.recent.add(s.key, ended{upstream: s.upstream.name, org: s.org, charged: s.charged})
}

func (k *Keeper) remove(s *slot) {
	k.expectLess(s, s.expected)
	delete(k.slots, s.key)
	if r := k.routers[s.router]; r != nil && r.incarnation == s.incarnation {
		delete(r.slots, s.id)
	}
	k.orgSlots[s.org]--
	if k.orgSlots[s.org] == 0 {
		delete(k.orgSlots, s.org)
	}
	k.vacate(s)
}

func boundCost(u wire.Units) wire.Units {
	if math.IsNaN(u) {
		return 0
	}
	return min(max(u, 0), maxCost)
}
