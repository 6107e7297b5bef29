package keeper

import (
	"slices"
	"time"
)

// maxRepeats bounds the copies of a grant that nobody asked for.
const maxRepeats = 3

// renew offers a granted slot again, since its grant may have been lost. When the grant
// has lapsed and the upstream takes no new work any more, the claim waits again.
func (k *Keeper) renew(r *router, s *slot, now time.Time) {
	if s.started || s.claim == nil || now.Sub(s.sent) < k.o.Report/2 {
		return
	}
	if s.upstream.usable() && !slices.Contains(s.claim.Exclude, s.upstream.name) {
		k.send(r, s, now)
		return
	}
	if s.lapsed(&k.o, now) {
		k.giveUp(s)
		k.recent.forget(s.key)
		k.enqueue(r, s.claim)
	}
}

// repeat sends those grants again that a report should list as running by now. Most
// reports list only changes, so a lost grant would show in a Full report only, and the
// slot would stay idle for seconds. A router that has the grant ignores the copy.
func (k *Keeper) repeat(r *router, now time.Time) {
	for _, s := range sortedSlots(r.slots) {
		if !s.started && !s.omitted && s.repeats < maxRepeats && now.Sub(s.sent) >= k.o.Report {
			s.repeats++
			k.renew(r, s, now)
		}
	}
}
