package keeper

import (
	"math"
	"time"

	"github.com/flamingowind/flamingowind/pkg/limit"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Done frees a slot and charges the rest of its cost. It ends the claim for good;
// duplicates change nothing.
func (k *Keeper) Done(from wire.RouterID, inc wire.Incarnation, d wire.Done, now time.Time) {
	r := k.routerFor(from, inc, now)
	if r == nil || k.ended.isFinal(r.key(d.ID)) {
		return
	}
	s := r.slots[d.ID]
	if d.Outcome == wire.OutcomeDied && s != nil && s.claim != nil {
		k.cooldown.start(s.claim.Content, now)
	}
	if s != nil && d.Outcome == wire.OutcomeUnused && d.Upstream != "" && d.Upstream != s.upstream.name {
		// The router had grants from two keepers and returns the other keeper's grant.
		return
	}
	if c := r.waiting[d.ID]; c != nil {
		k.drop(c)
	}
	if s == nil {
		k.chargeLateDone(r.key(d.ID), d)
		return
	}
	k.recordSample(s, d, now)
	k.completions.add(now)
	if d.Outcome == wire.OutcomeServed {
		k.updateMeanCost(boundCost(d.Cost))
	}
	k.release(s, k.finalCost(s, d))
	k.ended.add(s.claimKey, endedClaim{upstream: s.upstream.name, org: s.org, final: true, unused: d.Outcome == wire.OutcomeUnused})
}

// chargeLateDone charges the rest of the cost of a claim whose slot was reclaimed before
// its Done arrived.
func (k *Keeper) chargeLateDone(id claimKey, d wire.Done) {
	if e, ok := k.ended.get(id); ok {
		k.order.Charge(e.org, boundCost(d.Cost)-e.charged)
	}
	k.ended.add(id, endedClaim{upstream: d.Upstream, final: true, unused: d.Outcome == wire.OutcomeUnused})
}

func (k *Keeper) recordSample(s *slot, d wire.Done, now time.Time) {
	s.upstream.limiter.Record(limit.Sample{
		Org:     s.org,
		Outcome: d.Outcome,
		FirstMs: d.FirstMs,
		StepUs:  d.StepUs,
		Granted: s.grantedAt,
		Running: s.upstream.running,
	}, now)
}

// finalCost returns the cost to charge; it is never below what the router reported while
// the request ran.
func (k *Keeper) finalCost(s *slot, d wire.Done) wire.Units {
	if d.Outcome == wire.OutcomeUnused {
		return s.cost
	}
	return max(boundCost(d.Cost), s.cost)
}

// chargeService charges the service delivered since the last charge and lowers the expected
// cost by as much.
func (k *Keeper) chargeService(s *slot, cost wire.Units) {
	uncharged := cost - s.charged
	if uncharged <= 0 {
		return
	}
	k.order.Charge(s.org, uncharged)
	s.charged = cost
	k.lowerExpected(s, min(uncharged, s.expectedCost))
}

func (k *Keeper) lowerExpected(s *slot, units wire.Units) {
	k.order.Expect(s.org, -units)
	s.expectedCost -= units
}

// release frees a slot whose total cost is known.
func (k *Keeper) release(s *slot, cost wire.Units) {
	k.chargeService(s, cost)
	k.removeSlot(s)
}

// reclaim frees a slot that the router didn't release. The service that was reported stays
// charged, and a late Done charges the rest.
func (k *Keeper) reclaim(s *slot) {
	k.removeSlot(s)
	k.ended.add(s.claimKey, endedClaim{upstream: s.upstream.name, org: s.org, charged: s.charged})
}

func (k *Keeper) removeSlot(s *slot) {
	k.lowerExpected(s, s.expectedCost)
	delete(k.slots, s.claimKey)
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
