package daemon

import (
	"strconv"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// orderRanks is how many routers stand by for one engine.
const orderRanks = 3

// Rank implements order.Ranks. Each place is a draw of its own, so that a place costs
// one lookup and not a sort of the fleet for each of thousands of engines; one router
// may hold two places of an engine, which leaves fewer to stand by.
func (r *reach) Rank(upstream string) (int, bool) {
	m := r.members.Load()
	if m == nil {
		return 0, false
	}
	view := m.View()
	for rank := range orderRanks {
		key := wire.CellID("order/" + upstream + "/" + strconv.Itoa(rank))
		if view.Keeper(key) == view.Self.ID {
			return rank, true
		}
	}
	return 0, false
}
