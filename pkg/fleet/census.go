package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// censusEvery is how long a census holds: every duty asks for it, and counting a fleet
	// costs more the larger it is.
	censusEvery = 100 * time.Millisecond
	// presumeFor is how long a router that was only read from the list counts as alive
	// while nobody has tried it in vain.
	presumeFor = 2 * time.Second
)

// census is what this router's place follows from, as of one moment.
type census struct {
	at time.Time
	// count is the number of routers, this one included; rank is its place among them.
	count, rank int
	// strongest are the routers in the order of strength.
	strongest []ranked
	// lost are the peers that are neither alive nor presumed to be.
	lost []*peer
}

// ranked is a router in the order of strength that all routers agree on.
type ranked struct {
	power float64
	hash  uint64
	addr  string
}

func rankedOf(m Member) ranked {
	return ranked{power: m.Power, hash: xxhash.Sum64String(m.Peers), addr: m.Peers}
}

// byStrength puts routers with more processor first.
func byStrength(a, b ranked) int {
	if a.power != b.power {
		return cmp.Compare(b.power, a.power)
	}
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.addr, b.addr))
}

// censusAt gives the census, at most censusEvery old.
func (f *Fleet) censusAt(now time.Time) *census {
	if age := now.Sub(f.census.at); f.census.at.IsZero() || age < 0 || age >= censusEvery {
		f.takeCensus(now)
	}
	return &f.census
}

// takeCensus counts the routers that are alive.
//
// Guard: a router that gets too little processor hears of few others for a while. Taking
// itself for one of a small fleet, it would ask every router that it knows for that one's own
// work, a hundred a second, and its hub no longer for everybody's: it would fall behind for
// good and go by what a handful of routers do. A late router goes by all that it remembers.
func (f *Fleet) takeCensus(now time.Time) {
	late := now.Sub(f.lateAt) < lateFor
	list, rank := append(f.census.strongest[:0], f.strength), 0
	lost := f.census.lost[:0]
	for addr, p := range f.peers {
		switch {
		case p.alive(now), p.presumed(now):
		case f.isForgotten(p, now):
			delete(f.peers, addr)
			continue
		default:
			lost = append(lost, p)
		}
		if p.alive(now) || p.presumed(now) || late && p.everAlive() {
			r := p.ranked()
			list = append(list, r)
			if byStrength(r, f.strength) < 0 {
				rank++
			}
		}
	}
	slices.SortFunc(list, byStrength)
	f.census = census{at: now, count: len(list), rank: rank, strongest: list, lost: lost}
}

// presumed reports whether a router that was read from the list of routers counts as alive
// though nobody has heard of it yet.
//
// Guard: a router that starts hears of nobody. Taking itself for one of a small fleet, it
// would exchange with every router on the list, and so would all that start with it.
func (p *peer) presumed(now time.Time) bool {
	return p.member.Name != "" && !p.everAlive() && p.failed == 0 && now.Sub(p.met) < presumeFor
}

// ranked gives the peer's place in the order of strength.
func (p *peer) ranked() ranked {
	if p.strength.addr == "" || p.strength.power != p.member.Power {
		p.strength = rankedOf(p.member)
	}
	return p.strength
}
