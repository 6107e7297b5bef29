package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// router is the state of one router in its current incarnation.
type router struct {
	id          wire.RouterID
	incarnation wire.Incarnation
	lastSeq     uint64    // highest Report.Seq
	reported    bool      // a Full report arrived since the takeover began
	lastHeard   time.Time // last message of this incarnation
	deadSince   time.Time
	slots       map[wire.ClaimID]*slot
	waiting     map[wire.ClaimID]*claim
	// elsewhere is the last OrgCounter.Elsewhere of each organisation.
	elsewhere map[string]wire.Units
	// restarted is set when this keeper knew an earlier incarnation, so that this one's
	// counters are known to have started at 0.
	restarted bool
}

func newRouter(id wire.RouterID, inc wire.Incarnation) *router {
	return &router{
		id:          id,
		incarnation: inc,
		slots:       make(map[wire.ClaimID]*slot),
		waiting:     make(map[wire.ClaimID]*claim),
		elsewhere:   make(map[string]wire.Units),
	}
}

func (r *router) key(id wire.ClaimID) claimKey { return claimKey{r.id, r.incarnation, id} }

// routerFor returns the router's state for a message of an incarnation. It returns nil for
// a delayed message of an earlier incarnation, which would free or take slots of unrelated
// claims.
func (k *Keeper) routerFor(id wire.RouterID, inc wire.Incarnation, now time.Time) *router {
	r := k.routers[id]
	switch {
	case r == nil:
		r = newRouter(id, inc)
		k.routers[id] = r
	case inc < r.incarnation:
		return nil
	case inc > r.incarnation:
		k.endIncarnation(r, now)
		r = newRouter(id, inc)
		r.restarted = true
		k.routers[id] = r
	}
	r.lastHeard = now
	r.revive()
	return r
}

// revive undoes the declaration that the router is dead: it was only partitioned.
func (r *router) revive() {
	if r.deadSince.IsZero() {
		return
	}
	r.deadSince = time.Time{}
	for _, s := range r.slots {
		s.freeAt = time.Time{}
	}
}

// endIncarnation drops the waiting claims and lets the slots expire, see case 4 in the
// package documentation. What was charged stays charged.
func (k *Keeper) endIncarnation(r *router, now time.Time) {
	for _, c := range sortedClaims(r.waiting) {
		k.drop(c)
	}
	for _, s := range r.slots {
		if s.freeAt.IsZero() {
			s.freeAt = now.Add(k.options.TTL + k.options.TTLMargin)
		}
	}
}

// MarkRouterDead records that membership declared the router dead. A message of the same
// incarnation undoes it.
func (k *Keeper) MarkRouterDead(id wire.RouterID, now time.Time) {
	delete(k.expectedRouters, id)
	r := k.routers[id]
	if r == nil || !r.deadSince.IsZero() {
		return
	}
	r.deadSince = now
	k.endIncarnation(r, now)
}
