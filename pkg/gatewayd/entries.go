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
	candidates = append(candidates, fleet.MemberState{Member: p.fleet.Self(), Ready: p.gateway.Ready(), CPUStarved: p.pressure.pressed()})
	return sample(addresses(calm(strongest(ready(candidates)))))
}

func ready(list []fleet.MemberState) []fleet.MemberState {
	return slices.DeleteFunc(list, func(e fleet.MemberState) bool { return !e.Ready })
}

// calm leaves out routers that get too little processor, unless that is most of them.
func calm(list []fleet.MemberState) []fleet.MemberState {
	rest := slices.DeleteFunc(slices.Clone(list), func(e fleet.MemberState) bool { return e.CPUStarved })
	if 2*len(rest) < len(list) {
		return list
	}
	return rest
}

// Figures of strongest.
const (
	// strong is the part of the strongest router's processor from which on a router counts
	// as strong.
	strong = 0.5
	// leastStrong is how many must be named: callers need others when one fails.
	leastStrong = 8
)

// strongest gives the strong routers of a large fleet.
//
// Guard: callers choose among the addresses by chance, and hosts of a large fleet are
// unequal. The smallest would get as much as those with four times their processor, and
// fall behind. The strong ones bear all callers; when most of them are pressed, all do.
func strongest(list []fleet.MemberState) []fleet.MemberState {
	if len(list) <= smallFleet {
		return list
	}
	most := 0.0
	for _, e := range list {
		most = max(most, e.Member.Power)
	}
	var named []fleet.MemberState
	rested := 0
	for _, e := range list {
		if e.Member.Power < strong*most {
			continue
		}
		named = append(named, e)
		if !e.CPUStarved {
			rested++
		}
	}
	if rested < leastStrong || 2*rested < len(named) {
		return list
	}
	return named
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
