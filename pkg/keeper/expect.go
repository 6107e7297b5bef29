package keeper

import "github.com/flamingowind/flamingowind/pkg/wire"

const (
	// firstMean is expected of a request before anything has been settled, in units.
	firstMean = 64
	// meanWindow is over how many settled requests the cell's mean is taken.
	meanWindow = 64
)

// learnCost takes the cost of a request that was served whole into the cell's mean,
// which is expected of every request that is granted.
//
// It is the same for all organisations on purpose. With an expectation of its own, an
// organisation of short requests gets more slots than the others until the tokens
// arrive; equal expectations give equal slots, and slots deliver at the same pace. So
// callers' hints about cost are not asked for either, and a lying one buys nothing.
// docs/design/fair-order.md has the measurement.
func (k *Keeper) learnCost(cost wire.Units) {
	k.mean += (cost - k.mean) / meanWindow
}
