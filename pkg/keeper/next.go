package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/fair"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Next returns the messages that are due: refusals, repeated grants, and new grants in the
// fair order while slots are free. It must be called after every batch of messages and at
// least once per report interval.
func (k *Keeper) Next(now time.Time) []Message {
	k.detectPause(now)
	k.checkTakeover(now)
	if !k.takingOver {
		k.sweep(now)
	}
	k.checkDraining(now)
	for !k.takingOver && !k.handedOver && k.grantOne(now) {
	}
	out := k.outbox
	k.outbox = nil
	return out
}

// grantOne handles the next claim in the fair order. It returns false when no waiting claim
// can use a free slot.
func (k *Keeper) grantOne(now time.Time) bool {
	free := k.freeSlots(now)
	if free == 0 || k.order.Len() == 0 {
		return false
	}
	p := picker{k: k, now: now, urgentOnly: free <= k.options.UrgentReserve}
	p.withinShare = free <= k.options.UrgentReserve+k.headroomSlots(now)
	e := k.order.Pick(p.usable)
	for _, s := range p.suspects {
		k.order.Isolate(s)
	}
	if e == nil {
		return len(p.suspects) > 0
	}
	k.handlePicked(e, &p, now)
	return true
}

func (k *Keeper) handlePicked(e *fair.Entry[*claim], p *picker, now time.Time) {
	c := e.Value
	k.drop(c)
	switch {
	case c.expired(now):
	case k.crashes(c) >= k.options.MaxCrashes:
		k.refuse(c.claimKey, wire.RefusedQuarantine, 0)
	default:
		k.grant(c, p.choice, p.alone, now)
	}
}

func (k *Keeper) grant(c *claim, u *upstream, alone bool, now time.Time) {
	r := k.routers[c.router]
	if !k.farOverShare(c.Org) {
		k.headroom.lightGrants.add(now)
	}
	k.grantCounts.count(k.order.Contended(c.Org))
	s := &slot{claimKey: c.claimKey, org: c.Org, claim: c, alone: alone, grantedAt: now, expectedCost: k.meanCost}
	k.addSlot(r, s, u)
	k.order.Expect(c.Org, s.expectedCost)
	if c.Prefix != 0 {
		k.prefixes.Add(c.Prefix, u)
	}
	k.send(r, s, now)
}

// send sends the grant of a slot to its router. Each copy restarts the TTL on both sides:
// the router counts it from the sending of the report named by EchoSeq, which precedes the
// grant.
func (k *Keeper) send(r *router, s *slot, now time.Time) {
	s.lastSent, s.lastConfirmed, s.freeAt, s.omitted = now, now, time.Time{}, false
	k.outbox = append(k.outbox, Message{To: r.id, Incarnation: r.incarnation, Grant: &wire.Grant{
		ID:       s.id,
		Cell:     k.options.Cell,
		Upstream: s.upstream.name,
		Virtual:  k.order.Virtual(s.org),
		TTLMs:    uint32(k.options.TTL.Milliseconds()),
		Alone:    s.alone,
		EchoSeq:  r.lastSeq,
	}})
}

// freeSlots returns the number of grants that all upstreams together can take now.
func (k *Keeper) freeSlots(now time.Time) int {
	n := 0
	for _, u := range k.declared {
		if u != k.draining || u.running == 0 {
			n += u.free(now, k.options.GrantAhead)
		}
	}
	return n
}
