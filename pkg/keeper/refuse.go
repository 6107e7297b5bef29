package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

func (k *Keeper) refuse(c claimKey, reason wire.RefusalReason, retryMs uint32) {
	k.outbox = append(k.outbox, Message{
		To:          c.router,
		Incarnation: c.incarnation,
		Refusal:     &wire.Refusal{ID: c.id, Cell: k.options.Cell, Reason: reason, RetryMs: retryMs},
	})
}

// retryMs returns the time in which the organisation's own queue drains when every
// backlogged organisation is served in turn.
func (k *Keeper) retryMs(org string, now time.Time) uint32 {
	n := min(k.order.Waiting(org)*max(k.order.Backlogged(), 1), k.order.Len())
	return uint32(k.completions.drainTime(n, now).Milliseconds())
}

// HandOver hands the cell over: waiting claims are refused, so that their routers claim at the
// next keeper at once, and nothing is granted any more.
func (k *Keeper) HandOver() {
	k.handedOver = true
	for _, id := range sortedRouters(k.routers) {
		for _, c := range sortedClaims(k.routers[id].waiting) {
			k.drop(c)
			k.refuse(c.claimKey, wire.RefusedLeaving, 0)
		}
	}
}

func sortedRouters(m map[wire.RouterID]*router) []wire.RouterID {
	return slices.Sorted(maps.Keys(m))
}
