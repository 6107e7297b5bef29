package keeper

import "github.com/flamingowind/flamingowind/pkg/wire"

const (
	// firstMean is expected of a request before anything has been settled, in units.
	firstMean = 64
	// meanWindow is over how many settled requests the cell's mean is taken.
	meanWindow = 64
	// trust bounds how far a router's prediction moves the expectation from the cell's
	// mean, as a factor both ways.
	trust = 2
)

// learnCost takes the cost of a request that was served whole into the cell's mean.
func (k *Keeper) learnCost(cost wire.Units) {
	k.mean += (cost - k.mean) / meanWindow
}

// expect gives what a request is expected to take: the router's prediction within
// bounds around the cell's mean.
//
// Each router learns an organisation's costs for itself, so at a start, or after a
// change of its work, predictions of two organisations differ by far more than their
// costs. Taken as they are, the one with the small predictions gets several times the
// slots of the other until the first answers end. The mean is the same for all.
func (k *Keeper) expect(predict wire.Units) wire.Units {
	return min(max(predict, k.mean/trust), k.mean*trust)
}
