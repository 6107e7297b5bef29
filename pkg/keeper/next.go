package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/fair"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Next returns the messages that are due: refusals, repeated grants, and new grants in
// the fair order as long as slots are free. It must be called after every batch of
// messages and at least once a report interval.
func (k *Keeper) Next(now time.Time) []Out {
	k.resume(now)
	k.settled(now)
	if !k.settling {
		k.sweep(now)
	}
	k.checkEmptied(now)
	for !k.settling && !k.leaving && k.grantOne(now) {
	}
	out := k.outbox
	k.outbox = nil
	return out
}

// grantOne handles the next claim in the fair order, false when no waiting claim can use
// what is free.
func (k *Keeper) grantOne(now time.Time) bool {
	free := k.freeSlots(now)
	if free == 0 || k.order.Len() == 0 {
		return false
	}
	p := picker{k: k, now: now, urgentOnly: free <= k.o.ReserveUrgent}
	p.withinShare = free <= k.o.ReserveUrgent+k.headroomSlots(now)
	e := k.order.Pick(p.usable)
	for _, s := range p.suspects {
		k.order.Isolate(s)
	}
	if e == nil {
		return len(p.suspects) > 0
	}
	k.take(e, &p, now)
	return true
}

func (k *Keeper) take(e *fair.Entry[*claim], p *picker, now time.Time) {
	c := e.Value
	k.drop(c)
	switch {
	case c.expired(now):
	case k.deaths(c) >= k.o.MaxDeaths:
		k.refuse(c.key, wire.RefusedQuarantine, 0)
	default:
		k.grant(c, p.choice, p.alone, now)
	}
}

func (k *Keeper) grant(c *claim, u *upstream, alone bool, now time.Time) {
	r := k.routers[c.router]
	if !k.farOverShare(c.Org) {
		k.headroom.light.add(now)
	}
	k.granted.count(k.order.Contended(c.Org))
	s := &slot{key: c.key, org: c.Org, claim: c, alone: alone, granted: now, expected: k.mean}
	k.hold(r, s, u)
	k.order.Expect(c.Org, s.expected)
	if c.Prefix != 0 {
		k.prefixes.Add(c.Prefix, u)
	}
	k.send(r, s, now)
}

// send gives the slot to its router. Each copy starts the lapse anew, on both sides:
// the router counts from the report named by EchoSeq, which it sent before this.
func (k *Keeper) send(r *router, s *slot, now time.Time) {
	s.sent, s.news, s.expires, s.omitted = now, now, time.Time{}, false
	k.outbox = append(k.outbox, Out{To: r.id, Incarnation: r.incarnation, Grant: &wire.Grant{
		ID:       s.id,
		Cell:     k.o.Cell,
		Upstream: s.upstream.name,
		Virtual:  k.order.Virtual(s.org),
		TTLMs:    uint32(k.o.TTL.Milliseconds()),
		Alone:    s.alone,
		EchoSeq:  r.seq,
	}})
}

// freeSlots counts the grants that all upstreams together can take now.
func (k *Keeper) freeSlots(now time.Time) int {
	n := 0
	for _, u := range k.ranked {
		if u != k.emptied || u.running == 0 {
			n += u.free(now, k.o.GrantAhead)
		}
	}
	return n
}
