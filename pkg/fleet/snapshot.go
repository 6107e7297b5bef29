package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// snapshotMaxAge is how long a snapshot is reused: many callers need one, and building it
	// costs more the larger the fleet is.
	snapshotMaxAge = 100 * time.Millisecond
	// presumeAliveFor is how long a router that is only known from the registry counts as alive
	// while no attempt to reach it has failed.
	presumeAliveFor = 2 * time.Second
)

// snapshot is the fleet's membership at one moment; this router's role and rank follow from it.
type snapshot struct {
	at time.Time
	// count is the number of routers, this one included; rank is this router's position in
	// ranking.
	count, rank int
	// ranking lists the routers in rank order.
	ranking []rankKey
	// lost are the peers that are neither alive nor presumed to be.
	lost []*peer
}

// rankKey defines the rank order of routers, on which all routers agree.
type rankKey struct {
	power float64
	hash  uint64
	addr  string
}

func rankKeyOf(m Member) rankKey {
	return rankKey{power: m.Power, hash: xxhash.Sum64String(m.Peers), addr: m.Peers}
}

// compareRank orders routers with more CPU first.
func compareRank(a, b rankKey) int {
	if a.power != b.power {
		return cmp.Compare(b.power, a.power)
	}
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.addr, b.addr))
}

// snapshotAt returns a snapshot that is at most snapshotMaxAge old.
func (f *Fleet) snapshotAt(now time.Time) *snapshot {
	if age := now.Sub(f.snapshot.at); f.snapshot.at.IsZero() || age < 0 || age >= snapshotMaxAge {
		f.takeSnapshot(now)
	}
	return &f.snapshot
}

// takeSnapshot counts the routers that are alive.
//
// A CPU-starved router receives few reports for a while. If it counted only their senders, it
// would conclude that the fleet is small, exchange with every router that it knows, a hundred a
// second, and stop asking its hub for the totals. It would fall behind for good and decide on the
// load of a handful of routers. While starved, it therefore counts every router that it
// remembers.
func (f *Fleet) takeSnapshot(now time.Time) {
	starved := now.Sub(f.starvedAt) < starvedFor
	ranking, rank := append(f.snapshot.ranking[:0], f.rankKey), 0
	lost := f.snapshot.lost[:0]
	for addr, p := range f.peers {
		switch {
		case p.alive(now), p.presumedAlive(now):
		case f.isExpired(p, now):
			delete(f.peers, addr)
			continue
		default:
			lost = append(lost, p)
		}
		if p.alive(now) || p.presumedAlive(now) || starved && p.everAlive() {
			r := p.currentRankKey()
			ranking = append(ranking, r)
			if compareRank(r, f.rankKey) < 0 {
				rank++
			}
		}
	}
	slices.SortFunc(ranking, compareRank)
	f.snapshot = snapshot{at: now, count: len(ranking), rank: rank, ranking: ranking, lost: lost}
}

// presumedAlive reports whether a router from the registry counts as alive although no report of
// it has arrived yet.
//
// A router that starts has no reports. Without the presumption it would conclude that the fleet
// is small and exchange with every router in the registry, as would all routers that start with
// it.
func (p *peer) presumedAlive(now time.Time) bool {
	return p.member.Name != "" && !p.everAlive() && p.failures == 0 && now.Sub(p.addedAt) < presumeAliveFor
}

// currentRankKey returns the peer's rank key, recomputed when its power has changed.
func (p *peer) currentRankKey() rankKey {
	if p.rankKey.addr == "" || p.rankKey.power != p.member.Power {
		p.rankKey = rankKeyOf(p.member)
	}
	return p.rankKey
}
