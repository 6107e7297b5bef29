package gatewayd

import (
	"math/rand/v2"
	"slices"

	"github.com/flamingowind/flamingowind/pkg/fleet"
)

// maxEntries is the most addresses that a caller takes in one answer.
const maxEntries = 64

// entries gives the addresses that callers may use.
func (p *Process) entries(string) []string {
	candidates, known := p.fleet.RecentlyAlive()
	if len(candidates) == 0 && known > smallFleet {
		return nil // cut off from a large fleet: others can tell callers more
	}
	candidates = append(candidates, fleet.MemberState{Member: p.fleet.Self(), Ready: p.gateway.Ready(), CPUStarved: p.cpu.starved()})
	return sample(addresses(preferUnstarved(strongRouters(onlyReady(candidates)))))
}

func onlyReady(list []fleet.MemberState) []fleet.MemberState {
	return slices.DeleteFunc(list, func(e fleet.MemberState) bool { return !e.Ready })
}

// preferUnstarved leaves out routers that get too little processor, unless that is most of them.
func preferUnstarved(list []fleet.MemberState) []fleet.MemberState {
	unstarved := slices.DeleteFunc(slices.Clone(list), func(e fleet.MemberState) bool { return e.CPUStarved })
	if 2*len(unstarved) < len(list) {
		return list
	}
	return unstarved
}

// Figures of strongest.
const (
	// strongPowerShare is the part of the strongest router's CPU from which on a router counts as
	// strong.
	strongPowerShare = 0.5
	// minStrongRouters is how many must be named: callers need others when one fails.
	minStrongRouters = 8
)

// strongRouters gives the strong routers of a large fleet.
//
// Guard: callers choose among the addresses by chance, and hosts of a large fleet are
// unequal. The smallest would get as much as those with four times their processor, and
// fall behind. The strong ones bear all callers; when most of them are pressed, all do.
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

// sample gives at most maxEntries of list, others each time.
//
// Guard: in a larger fleet callers would refuse the whole answer, or all take the same
// first addresses and leave the other routers without work.
func sample(list []string) []string {
	if len(list) <= maxEntries {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:maxEntries]
}
