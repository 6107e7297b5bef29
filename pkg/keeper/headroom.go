package keeper

import (
	"math"
	"time"
)

const (
	// farOver is from how many times its share on an organisation leaves the headroom
	// alone. Organisations that merely take up what others leave unused stay under it,
	// so ordinary competition idles no slot.
	farOver = 3
	// fewPart is the part of the slots under which no organisation is far over its share:
	// among hundreds of organisations a share is less than one slot.
	fewPart = 8
	// headroomPart bounds the headroom: one slot in so many.
	headroomPart = 16
	// headroomMiss is the part of the others' requests that may find no slot free.
	headroomMiss = 0.01
	// activeFor is how long after its last claim an organisation has a share.
	activeFor = 5 * time.Second
	// sharesEvery bounds the work of looking through all active organisations.
	sharesEvery = 500 * time.Millisecond
)

// headroom keeps a few slots free from organisations far over their share.
//
// The failure it guards against: one organisation floods the cell and holds every slot
// that the others leave. Whoever comes then is next in the fair order and still waits for
// some request to end; it shows in the others' first tokens, several times as late at the
// 99th percentile. With some slots free they start at once. It holds because the slots
// are refused to the flooding organisation only: all others may take them, so none is
// idle while an organisation within its share waits.
type headroom struct {
	enabled bool
	claimed map[string]time.Time // last new claim of each organisation
	// weights sums up those of the active organisations, slots the cell's limits; both
	// are up to sharesEvery old.
	weights float64
	slots   int
	renewAt time.Time
	// light counts grants to organisations that aren't far over their share.
	light rate
}

// KeepHeadroom switches the headroom on or off.
func (k *Keeper) KeepHeadroom(on bool) { k.headroom.enabled = on }

// GrantAhead sets how many grants go out beyond the limit of each upstream, see Options.
func (k *Keeper) GrantAhead(n int) { k.o.GrantAhead = n }

// refreshShares works out what the organisations' shares follow from.
func (k *Keeper) refreshShares(now time.Time) {
	h := &k.headroom
	if now.Before(h.renewAt) {
		return
	}
	h.renewAt = now.Add(sharesEvery)
	h.weights, h.slots = 0, 0
	for org, at := range h.claimed {
		if now.Sub(at) > activeFor && k.orgSlots[org] == 0 && k.order.Waiting(org) == 0 {
			delete(h.claimed, org)
			continue
		}
		h.weights += k.order.Weight(org)
	}
	for _, u := range k.ranked {
		if u.usable() {
			h.slots += u.limiter.Limit(now)
		}
	}
}

// farOverShare says that the organisation holds at least farOver times its weighted share
// of the slots among the active organisations, or half of all slots and its share, and
// that it isn't one of many who hold a few each.
func (k *Keeper) farOverShare(org string) bool {
	h := &k.headroom
	if !h.enabled || h.weights == 0 {
		return false
	}
	all := float64(h.slots)
	share := all * k.order.Weight(org) / h.weights
	return float64(k.orgSlots[org]) >= max(share, min(farOver*share, all/2), all/fewPart)
}

// headroomSlots is the number of free slots to keep. Free slots are taken by the others'
// requests and refilled by whatever ends; with a ratio of r between the two rates, n of
// them are all in use for a part of r^n of the time. So a cell in which the others ask
// for little keeps few, and one in which they ask for nothing keeps none.
func (k *Keeper) headroomSlots(now time.Time) int {
	h := &k.headroom
	if !h.enabled {
		return 0
	}
	light, drained := h.light.perSecond(now), k.drained.perSecond(now)
	most := h.slots / headroomPart
	if light == 0 || light >= drained {
		return min(most, int(math.Ceil(light))) // 0 when nobody asks
	}
	return min(most, int(math.Ceil(math.Log(headroomMiss)/math.Log(light/drained))))
}
