package handover

import "slices"

// choose returns the less loaded of two targets, given by their indices. open returns the number of
// connections that this router has to a target.
//
// Two random choices spread the connections of a small overloaded host over the fleet nearly as
// evenly as a scan of all targets, and routers that choose by the same reports don't all choose the
// same one.
func choose(targets []Target, open func(addr string) int, first, second int) Target {
	a, b := targets[first], targets[second]
	if load(b, open(b.Addr)) < load(a, open(a.Addr)) {
		return b
	}
	return a
}

// without returns the targets except the one at addr.
//
// A router that accepts nothing has the fewest connections and would be chosen again.
func without(targets []Target, addr string) []Target {
	if addr == "" {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return t.Addr == addr })
}

// minCores is assumed for a target whose cores aren't known.
const minCores = 0.1

func load(t Target, open int) float64 { return float64(open+1) / max(minCores, t.Cores) }
