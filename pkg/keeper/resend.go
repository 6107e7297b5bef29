package keeper

import (
	"slices"
	"time"
)

// maxUnaskedResends bounds the copies of a grant that the router didn't ask for.
const maxUnaskedResends = 3

// resendGrant sends the grant of a slot again, since the first copy may have been lost.
// When the grant has expired and the upstream takes no new work any more, the claim waits
// again.
func (k *Keeper) resendGrant(r *router, s *slot, now time.Time) {
	if s.started || s.claim == nil || now.Sub(s.lastSent) < k.options.ReportInterval/2 {
		return
	}
	if s.upstream.usable() && !slices.Contains(s.claim.Exclude, s.upstream.name) {
		k.send(r, s, now)
		return
	}
	if s.grantExpired(&k.options, now) {
		k.reclaim(s)
		k.ended.remove(s.claimKey)
		k.enqueue(r, s.claim)
	}
}

// resendUnconfirmed resends the grants that a report should list as running by now. Most
// reports list only changes, so a lost grant would be noticed only by the next Full report,
// and the slot would be idle for seconds. A router that has the grant ignores the copy.
func (k *Keeper) resendUnconfirmed(r *router, now time.Time) {
	for _, s := range sortedSlots(r.slots) {
		if !s.started && !s.omitted && s.unaskedResends < maxUnaskedResends && now.Sub(s.lastSent) >= k.options.ReportInterval {
			s.unaskedResends++
			k.resendGrant(r, s, now)
		}
	}
}
