package placement

import (
	"cmp"
	"slices"
	"time"
)

// near returns the cheapest of the fitting choices in the zone of chosen.
func (r *Request) near(fitting []Choice, chosen *Choice, speed Speed) []Choice {
	if r.MaxNear <= 0 || chosen.Prefill < r.NearFrom {
		return nil
	}
	list := make([]Choice, 0, len(fitting))
	for i := range fitting {
		if fitting[i].Candidate.Instance.Zone == chosen.Candidate.Instance.Zone {
			list = append(list, fitting[i])
		}
	}
	slices.SortFunc(list, func(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) })
	list = list[:min(len(list), r.MaxNear)]
	for i := range list {
		list[i].AddedCost, list[i].Unseen = addedCost(r, &list[i], speed), r.Unseen
	}
	return list
}

// MaxQueue is the longest queue with which a choice is still within the limits.
func (l *Limits) MaxQueue(c Choice) time.Duration {
	reserve := time.Duration(l.RecomputeReserve * float64(c.recompute))
	return min(l.ChosenQueue, l.Wait-reserve-(c.Wait-c.Queue))
}
