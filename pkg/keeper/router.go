package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// router is what the keeper knows of one router's present life.
type router struct {
	id          wire.RouterID
	incarnation wire.Incarnation
	seq         uint64    // highest Report.Seq
	full        bool      // a Full report came since settling began
	heard       time.Time // last message of this life
	gone        time.Time
	slots       map[wire.ClaimID]*slot
	waiting     map[wire.ClaimID]*claim
	// elsewhere holds the last OrgCounter.Elsewhere of each organisation.
	elsewhere map[string]wire.Units
	// reborn says that an earlier life was known here, so this life's counters are
	// known to have started at 0.
	reborn bool
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

func (r *router) key(id wire.ClaimID) key { return key{r.id, r.incarnation, id} }

// life returns the router's state for a message from this incarnation, nil for a message
// of an earlier life: it was held up on its way, and acting on it would free or take
// slots of claims that have nothing to do with it.
func (k *Keeper) life(id wire.RouterID, inc wire.Incarnation, now time.Time) *router {
	r := k.routers[id]
	switch {
	case r == nil:
		r = newRouter(id, inc)
		k.routers[id] = r
	case inc < r.incarnation:
		return nil
	case inc > r.incarnation:
		k.endLife(r, now)
		r = newRouter(id, inc)
		r.reborn = true
		k.routers[id] = r
	}
	r.heard = now
	r.returned()
	return r
}

// returned takes back that the router was declared dead: it was only cut off.
func (r *router) returned() {
	if r.gone.IsZero() {
		return
	}
	r.gone = time.Time{}
	for _, s := range r.slots {
		s.expires = time.Time{}
	}
}

// endLife drops the waiting claims and lets the slots run out, see case 4 of the
// package's rule. What was charged stays charged.
func (k *Keeper) endLife(r *router, now time.Time) {
	for _, c := range sortedClaims(r.waiting) {
		k.drop(c)
	}
	for _, s := range r.slots {
		if s.expires.IsZero() {
			s.expires = now.Add(k.o.TTL + k.o.Margin)
		}
	}
}

// RouterGone tells that membership declared the router dead. A message of the same life
// takes its slots back.
func (k *Keeper) RouterGone(id wire.RouterID, now time.Time) {
	delete(k.expected, id)
	r := k.routers[id]
	if r == nil || !r.gone.IsZero() {
		return
	}
	r.gone = now
	k.endLife(r, now)
}
