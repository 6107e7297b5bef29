package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/fair"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	maxCost = 1e7
)

// Claim processes a claim or a further copy of it. A copy of a granted claim is answered
// with the same grant, since the first grant may have been lost. A copy of an ended claim
// is ignored: it was delayed on its way.
func (k *Keeper) Claim(from wire.RouterID, inc wire.Incarnation, w wire.Claim, now time.Time) {
	r := k.routerFor(from, inc, now)
	if r == nil || k.ended.isFinal(r.key(w.ID)) {
		return
	}
	if s := r.slots[w.ID]; s != nil {
		k.resendGrant(r, s, now)
		return
	}
	if c := r.waiting[w.ID]; c != nil {
		k.expiry.set(c, expiryOf(w, now))
		c.omissions = 0
		return
	}
	k.admit(r, w, now)
}

func (k *Keeper) admit(r *router, w wire.Claim, now time.Time) {
	c := &claim{
		claimKey:     r.key(w.ID),
		Claim:        w,
		waitingSince: now.Add(-time.Duration(w.AgeMs) * time.Millisecond),
		expiresAt:    expiryOf(w, now),

		heapIndex: notInHeap,
	}
	if reason, refused := k.refusal(c); refused {
		k.refuse(c.claimKey, reason, k.retryMs(w.Org, now))
		return
	}
	k.ended.remove(c.claimKey)
	k.headroom.lastClaims[c.Org] = now
	k.enqueue(r, c)
}

func (k *Keeper) enqueue(r *router, c *claim) {
	c.entry = &fair.Entry[*claim]{Org: c.Org, Class: c.Class, Isolated: k.crashes(c) > 0, WaitingSince: c.waitingSince, Value: c}
	r.waiting[c.id] = c
	k.order.Push(c.entry)
	k.expiry.set(c, c.expiresAt)
}

func (k *Keeper) refusal(c *claim) (wire.RefusalReason, bool) {
	switch {
	case k.handedOver:
		return wire.RefusedLeaving, true
	case k.crashes(c) >= k.options.MaxCrashes:
		return wire.RefusedQuarantine, true
	case k.unservable(c):
		return wire.RefusedNoUpstream, true
	case k.queueFull(c.Org):
		return wire.RefusedBacklog, true
	}
	return 0, false
}

// queueFull bounds the keeper's memory. When the total is at its bound, an organisation
// with less than an equal part of it may still add claims, so that one organisation's flood
// doesn't shut out the others.
func (k *Keeper) queueFull(org string) bool {
	waiting := k.order.Waiting(org)
	if waiting >= k.options.MaxWaitingPerOrg {
		return true
	}
	part := k.options.MaxWaiting / (k.order.Backlogged() + 1)
	return k.order.Len() >= k.options.MaxWaiting && waiting >= part
}

// Cancel withdraws a claim. It may arrive before the claim itself, or after the grant was
// sent. In the second case the router drops the claim and doesn't start it, see case 1 in
// the package documentation.
func (k *Keeper) Cancel(from wire.RouterID, inc wire.Incarnation, w wire.Cancel, now time.Time) {
	r := k.routerFor(from, inc, now)
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
	k.ended.add(r.key(w.ID), endedClaim{final: true})
}

// drop removes a waiting claim.
func (k *Keeper) drop(c *claim) {
	k.order.Remove(c.entry)
	k.expiry.remove(c)
	if r := k.routers[c.router]; r != nil && r.incarnation == c.incarnation {
		delete(r.waiting, c.id)
	}
	if k.drainingFor == c {
		k.draining, k.drainingFor = nil, nil
	}
}

func (k *Keeper) crashes(c *claim) int {
	if c.Content == 0 {
		return 0
	}
	return k.options.Crashes(c.Content)
}

func expiryOf(w wire.Claim, now time.Time) time.Time {
	if w.WaitMs == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(w.WaitMs) * time.Millisecond)
}
