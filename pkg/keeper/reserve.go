package keeper

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// mayUseReserve reports whether the claim may use a slot reserved for urgent work: it is
// urgent, and its organisation uses less than its weighted share of the slots among the
// organisations that run or wait. So an organisation gains nothing over others by marking
// all its work as urgent.
func (k *Keeper) mayUseReserve(c *claim, now time.Time) bool {
	if c.Class != wire.ClassUrgent {
		return false
	}
	var weights float64
	for org := range k.orgSlots {
		weights += k.order.Weight(org)
	}
	k.order.EachBacklogged(func(org string) {
		if k.orgSlots[org] == 0 {
			weights += k.order.Weight(org)
		}
	})
	slots := 0
	for _, u := range k.declared {
		if u.usable() {
			slots += u.limiter.Limit(now)
		}
	}
	return float64(k.orgSlots[c.Org]) < float64(slots)*k.order.Weight(c.Org)/weights
}
