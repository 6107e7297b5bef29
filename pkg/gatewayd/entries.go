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
	candidates := p.fleet.Alive()
	candidates = append(candidates, fleet.Entry{Member: p.fleet.Self(), Ready: p.gateway.Ready(), Pressed: p.pressure.pressed()})
	return sample(addresses(strongest(calm(ready(candidates)))))
}

func ready(list []fleet.Entry) []fleet.Entry {
	return slices.DeleteFunc(list, func(e fleet.Entry) bool { return !e.Ready })
}

// calm leaves out routers that get too little processor, unless that is most of them.
func calm(list []fleet.Entry) []fleet.Entry {
	rest := slices.DeleteFunc(slices.Clone(list), func(e fleet.Entry) bool { return e.Pressed })
	if 2*len(rest) < len(list) {
		return list
	}
	return rest
}

// strongest gives the stronger half of a large fleet.
//
// Guard: callers choose among the addresses by chance, and hosts of a large fleet are
// unequal. A caller that sends much would overrun a small one, while the larger half has
// most of the fleet's processor and bears all callers easily.
func strongest(list []fleet.Entry) []fleet.Entry {
	if len(list) <= smallFleet {
		return list
	}
	powers := make([]float64, 0, len(list))
	for _, e := range list {
		powers = append(powers, e.Member.Power)
	}
	slices.Sort(powers)
	median := powers[len(powers)/2]
	return slices.DeleteFunc(list, func(e fleet.Entry) bool { return e.Member.Power < median })
}

func addresses(list []fleet.Entry) []string {
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
