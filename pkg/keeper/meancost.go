package keeper

import "github.com/flamingowind/flamingowind/pkg/wire"

const (
	// initialMeanCost is the expected cost of a request before any has ended, in units.
	initialMeanCost = 64
	// meanWindow is the number of ended requests over which the mean cost is averaged.
	meanWindow = 64
)

// updateMeanCost adds the cost of a completely served request to the cell's moving average,
// which is the expected cost of every request that is granted.
//
// The average is deliberately the same for all organisations. With an expected cost of its
// own, an organisation with short requests would get more slots than the others until the
// tokens arrive. With equal expected costs slots are equal too, and slots deliver at the
// same speed. For the same reason callers' cost hints aren't used, so a false hint gains
// nothing.
func (k *Keeper) updateMeanCost(cost wire.Units) {
	k.meanCost += (cost - k.meanCost) / meanWindow
}
