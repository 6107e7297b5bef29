package keeper

import (
	"math"
	"time"
)

const (
	// farOverFactor is the multiple of its share from which an organisation may not use the
	// headroom. Organisations that only use what others leave free stay below it, so
	// ordinary competition leaves no slot idle.
	farOverFactor = 3
	// fewSlotsDivisor gives the fraction of the slots below which no organisation counts as
	// far over its share: with hundreds of organisations a share is less than one slot.
	fewSlotsDivisor = 8
	// headroomDivisor bounds the headroom to this fraction of the slots.
	headroomDivisor = 16
	// maxMissRatio is the fraction of the other organisations' requests that may find no
	// free slot.
	maxMissRatio = 0.01
	// activeFor is how long an organisation has a share after its last claim.
	activeFor = 5 * time.Second
	// sharesInterval limits how often all active organisations are scanned.
	sharesInterval = 500 * time.Millisecond
)

// headroom keeps a few slots free from organisations far over their share.
//
// The failure it guards against: one organisation floods the cell and holds every slot that
// the others leave. A request of another organisation is next in the fair order and still
// waits until some request ends, and the 99th percentile of the others' time to first token
// grows several times over. With a few free slots they start at once. Only the flooding
// organisation is refused these slots, so none is idle while an organisation within its
// share waits.
type headroom struct {
	enabled    bool
	lastClaims map[string]time.Time // each organisation's last new claim
	// totalWeight is the sum of the active organisations' weights, totalSlots the sum of
	// the upstreams' limits; both are up to sharesInterval old.
	totalWeight float64
	totalSlots  int
	refreshAt   time.Time
	// lightGrants is the rate of grants to organisations that aren't far over their share.
	lightGrants rate
}

// EnableHeadroom enables or disables the headroom.
func (k *Keeper) EnableHeadroom(on bool) { k.headroom.enabled = on }

// SetGrantAhead sets Options.SetGrantAhead.
func (k *Keeper) SetGrantAhead(n int) { k.options.GrantAhead = n }

// refreshShares updates totalWeight and totalSlots and forgets inactive organisations.
func (k *Keeper) refreshShares(now time.Time) {
	h := &k.headroom
	if now.Before(h.refreshAt) {
		return
	}
	h.refreshAt = now.Add(sharesInterval)
	h.totalWeight, h.totalSlots = 0, 0
	for org, at := range h.lastClaims {
		if now.Sub(at) > activeFor && k.orgSlots[org] == 0 && k.order.Waiting(org) == 0 {
			delete(h.lastClaims, org)
			continue
		}
		h.totalWeight += k.order.Weight(org)
	}
	for _, u := range k.declared {
		if u.usable() {
			h.totalSlots += u.limiter.Limit(now)
		}
	}
}

// farOverShare reports whether an organisation is far over its weighted share of the slots
// among the active organisations: it holds at least farOverFactor times its share, or at
// least both its share and half of all slots, and it isn't one of many organisations with a
// few slots each.
func (k *Keeper) farOverShare(org string) bool {
	h := &k.headroom
	if !h.enabled || h.totalWeight == 0 {
		return false
	}
	slots := float64(h.totalSlots)
	share := slots * k.order.Weight(org) / h.totalWeight
	return float64(k.orgSlots[org]) >= max(share, min(farOverFactor*share, slots/2), slots/fewSlotsDivisor)
}

// headroomSlots returns the number of slots to keep free. Requests of the other
// organisations take free slots, and ending requests free them again. With a ratio r
// between the two rates, n free slots are all in use for a fraction r^n of the time. So the
// headroom is small when the other organisations send few requests, and 0 when they send
// none.
func (k *Keeper) headroomSlots(now time.Time) int {
	h := &k.headroom
	if !h.enabled {
		return 0
	}
	lightRate, endRate := h.lightGrants.perSecond(now), k.completions.perSecond(now)
	maxHeadroom := h.totalSlots / headroomDivisor
	if lightRate == 0 || lightRate >= endRate {
		return min(maxHeadroom, int(math.Ceil(lightRate))) // 0 without requests
	}
	return min(maxHeadroom, int(math.Ceil(math.Log(maxMissRatio)/math.Log(lightRate/endRate))))
}
