package booking

import "github.com/cespare/xxhash/v2"

// Router is a router that may be a keeper.
type Router struct {
	// Addr is its address for other routers.
	Addr string
	Zone string
}

// KeeperOf returns the address of the router that keeps the calendars of the engines of a zone: the
// one of the routers in that zone with the highest hash, of all routers where the zone has none.
// usable says which of them are asked at present. It returns "" where there is none.
//
// Every router derives the same keeper from the same routers. Two views that differ for a moment
// give two keepers, each with some of the bookings.
func KeeperOf(routers []Router, zone string, usable func(addr string) bool) string {
	best, bestScore := "", uint64(0)
	local := false
	for _, r := range routers {
		if !usable(r.Addr) || local && r.Zone != zone {
			continue
		}
		score := xxhash.Sum64String(zone + "\x00" + r.Addr)
		if r.Zone == zone && !local || best == "" || score > bestScore {
			best, bestScore, local = r.Addr, score, r.Zone == zone
		}
	}
	return best
}
