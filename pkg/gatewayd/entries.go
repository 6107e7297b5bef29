package gatewayd

import "math/rand/v2"

// maxEntries is the most addresses that a caller takes in one answer.
const maxEntries = 64

// entries gives the addresses that callers may use.
func (p *Process) entries(string) []string {
	var list []string
	if p.gateway.Ready() {
		list = append(list, p.settings.Load().callers())
	}
	for _, m := range p.fleet.Ready() {
		list = append(list, m.Callers)
	}
	return sample(list)
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
