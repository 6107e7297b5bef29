package keeper

import "time"

const (
	// sweepEvery bounds the work of looking through all slots and claims.
	sweepEvery = 100 * time.Millisecond
	// forgetAfter is how long the counters of a dead router are kept, so that one that
	// was only cut off isn't taken for a new one.
	forgetAfter = 10 * time.Minute
)

// sweep frees what is due by time alone: cases 3 to 5 of the package's rule, claims
// that are not worth granting any more, and routers that went long ago.
func (k *Keeper) sweep(now time.Time) {
	if now.Before(k.nextSweep) {
		return
	}
	k.nextSweep = now.Add(sweepEvery)
	k.refreshShares(now)
	due := make(map[key]*slot)
	for id, s := range k.slots {
		if s.due(&k.o, k.heard(s), now) {
			due[id] = s
		}
	}
	for _, s := range sortedSlots(due) {
		k.giveUp(s)
	}
	for c := k.expiry.due(now); c != nil; c = k.expiry.due(now) {
		k.drop(c)
	}
	for id, r := range k.routers {
		if !r.gone.IsZero() && now.Sub(r.gone) > forgetAfter && len(r.slots) == 0 {
			delete(k.routers, id)
		}
	}
}

// heard is the time of the last message from the life that holds the slot.
func (k *Keeper) heard(s *slot) time.Time {
	if r := k.routers[s.router]; r != nil && r.incarnation == s.incarnation {
		return r.heard
	}
	return time.Time{}
}
