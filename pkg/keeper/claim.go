package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/fair"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	maxCost = 1e7
)

// Claim takes in a claim, or one more copy of it. A copy of a granted claim is answered
// by the same grant again, since the first may have been lost; a copy of an ended claim
// was late and is ignored.
func (k *Keeper) Claim(from wire.RouterID, inc wire.Incarnation, w wire.Claim, now time.Time) {
	r := k.life(from, inc, now)
	if r == nil || k.recent.final(r.key(w.ID)) {
		return
	}
	if s := r.slots[w.ID]; s != nil {
		k.renew(r, s, now)
		return
	}
	if c := r.waiting[w.ID]; c != nil {
		k.expiry.set(c, until(w, now))
		c.omitted = 0
		return
	}
	k.admit(r, w, now)
}

func (k *Keeper) admit(r *router, w wire.Claim, now time.Time) {
	c := &claim{
		key:   r.key(w.ID),
		Claim: w,
		since: now.Add(-time.Duration(w.AgeMs) * time.Millisecond),
		until: until(w, now),

		expiryAt: noExpiry,
	}
	if reason, refused := k.refusal(c); refused {
		k.refuse(c.key, reason, k.retryMs(w.Org, now))
		return
	}
	k.recent.forget(c.key)
	k.headroom.claimed[c.Org] = now
	k.enqueue(r, c)
}

func (k *Keeper) enqueue(r *router, c *claim) {
	c.entry = &fair.Entry[*claim]{Org: c.Org, Class: c.Class, Isolated: k.deaths(c) > 0, WaitingSince: c.since, Value: c}
	r.waiting[c.id] = c
	k.order.Push(c.entry)
	k.expiry.set(c, c.until)
}

func (k *Keeper) refusal(c *claim) (wire.RefusalReason, bool) {
	switch {
	case k.leaving:
		return wire.RefusedLeaving, true
	case k.deaths(c) >= k.o.MaxDeaths:
		return wire.RefusedQuarantine, true
	case k.hopeless(c):
		return wire.RefusedNoUpstream, true
	case k.full(c.Org):
		return wire.RefusedBacklog, true
	}
	return 0, false
}

// full keeps the keeper's memory bounded. When all organisations together are at the
// bound, one that waits with less than its equal part is still let in: a flood by one
// must not refuse the others.
func (k *Keeper) full(org string) bool {
	waiting := k.order.Waiting(org)
	if waiting >= k.o.MaxWaitingOrg {
		return true
	}
	part := k.o.MaxWaiting / (k.order.Backlogged() + 1)
	return k.order.Len() >= k.o.MaxWaiting && waiting >= part
}

// Cancel withdraws a claim. It may arrive before the claim itself, and after the grant
// was sent: the router then drops the claim and doesn't start (case 1 of the rule).
func (k *Keeper) Cancel(from wire.RouterID, inc wire.Incarnation, w wire.Cancel, now time.Time) {
	r := k.life(from, inc, now)
	if r == nil {
		return
	}
	if c := r.waiting[w.ID]; c != nil {
		k.drop(c)
	}
	if s := r.slots[w.ID]; s != nil {
		if s.started {
			return
		}
		k.release(s, 0)
	}
	k.recent.add(r.key(w.ID), ended{final: true})
}

// drop takes a waiting claim out.
func (k *Keeper) drop(c *claim) {
	k.order.Remove(c.entry)
	k.expiry.remove(c)
	if r := k.routers[c.router]; r != nil && r.incarnation == c.incarnation {
		delete(r.waiting, c.id)
	}
	if k.emptiedFor == c {
		k.emptied, k.emptiedFor = nil, nil
	}
}

func (k *Keeper) deaths(c *claim) int {
	if c.Content == 0 {
		return 0
	}
	return k.o.Deaths(c.Content)
}

func until(w wire.Claim, now time.Time) time.Time {
	if w.WaitMs == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(w.WaitMs) * time.Millisecond)
}
