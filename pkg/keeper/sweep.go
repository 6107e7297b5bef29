package keeper

import "time"

const (
	// sweepInterval limits how often all slots and claims are scanned.
	sweepInterval = 100 * time.Millisecond
	// forgetAfter is how long the counters of a dead router are kept, so that a router that
	// was only partitioned isn't treated as a new one.
	forgetAfter = 10 * time.Minute
)

// sweep handles what is due because of elapsed time alone: slots of cases 3 to 5 in the
// package documentation, expired claims, and routers that died long ago.
func (k *Keeper) sweep(now time.Time) {
	if now.Before(k.nextSweep) {
		return
	}
	k.nextSweep = now.Add(sweepInterval)
	k.refreshShares(now)
	k.ejectSlowUpstreams(now)
	due := make(map[claimKey]*slot)
	for id, s := range k.slots {
		if s.reclaimDue(&k.options, k.lastHeard(s), now) {
			due[id] = s
		}
	}
	for _, s := range sortedSlots(due) {
		k.reclaim(s)
	}
	for c := k.expiry.due(now); c != nil; c = k.expiry.due(now) {
		k.drop(c)
	}
	for id, r := range k.routers {
		if !r.deadSince.IsZero() && now.Sub(r.deadSince) > forgetAfter && len(r.slots) == 0 {
			delete(k.routers, id)
		}
	}
}

// lastHeard returns the time of the last message from the incarnation that holds the slot.
func (k *Keeper) lastHeard(s *slot) time.Time {
	if r := k.routers[s.router]; r != nil && r.incarnation == s.incarnation {
		return r.lastHeard
	}
	return time.Time{}
}
