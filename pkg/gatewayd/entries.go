package gatewayd

import (
	"math/rand/v2"
	"slices"

	"github.com/flamingowind/flamingowind/pkg/fleet"
)

// maxEntries is the largest number of addresses that a caller accepts in one response.
const maxEntries = 64

// entries returns the router addresses that callers may use.
func (p *Process) entries(string) []string {
	candidates, known := p.fleet.RecentlyAlive()
	if len(candidates) == 0 && known > smallFleet {
		return nil // partitioned from a large fleet: other routers know more addresses
	}
	candidates = append(candidates, fleet.MemberState{Member: p.fleet.Self(), Ready: p.gateway.Ready(), CPUStarved: p.cpu.starved()})
	return sample(addresses(preferUnstarved(strongRouters(onlyReady(candidates)))))
}

func onlyReady(list []fleet.MemberState) []fleet.MemberState {
	return slices.DeleteFunc(list, func(e fleet.MemberState) bool { return !e.Ready })
}

// preferUnstarved drops CPU-starved routers, unless they are the majority.
func preferUnstarved(list []fleet.MemberState) []fleet.MemberState {
	unstarved := slices.DeleteFunc(slices.Clone(list), func(e fleet.MemberState) bool { return e.CPUStarved })
	if 2*len(unstarved) < len(list) {
		return list
	}
	return unstarved
}

// Parameters of strongRouters.
const (
	// strongPowerShare is the part of the strongest router's CPU that makes a router strong.
	strongPowerShare = 0.5
	// minStrongRouters is the least number to offer: callers need alternatives when one fails.
	minStrongRouters = 8
)

// strongRouters returns the strong routers of a large fleet.
//
// Callers choose among the addresses at random, and hosts of a large fleet are unequal. The
// smallest would get as much load as those with four times their CPU, and fall behind. So the
// strong routers serve all callers; when most of them are CPU-starved, all routers do.
func strongRouters(list []fleet.MemberState) []fleet.MemberState {
	if len(list) <= smallFleet {
		return list
	}
	maxPower := 0.0
	for _, e := range list {
		maxPower = max(maxPower, e.Member.Power)
	}
	var strong []fleet.MemberState
	unstarved := 0
	for _, e := range list {
		if e.Member.Power < strongPowerShare*maxPower {
			continue
		}
		strong = append(strong, e)
		if !e.CPUStarved {
			unstarved++
		}
	}
	if unstarved < minStrongRouters || 2*unstarved < len(strong) {
		return list
	}
	return strong
}

func addresses(list []fleet.MemberState) []string {
	addrs := make([]string, 0, len(list))
	for _, e := range list {
		addrs = append(addrs, e.Member.Callers)
	}
	return addrs
}

// sample returns at most maxEntries of list, chosen at random.
//
// In a larger fleet callers would refuse the whole response, or all use the same first addresses
// and leave the other routers without load.
func sample(list []string) []string {
	if len(list) <= maxEntries {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:maxEntries]
}
