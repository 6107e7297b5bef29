package fleet

import (
	"slices"
	"time"
)

// Membership is the set of routers that are alive, this one included.
type Membership struct {
	// Peers are their peer addresses in rank order.
	Peers []string
	// ChangedAt is when the set last changed, HalfAliveSince since when at least half of the
	// known routers have been alive.
	ChangedAt, HalfAliveSince time.Time
	// Lost are the addresses of known routers that are silent.
	Lost []string
	// Known is the number of all known routers.
	Known int
}

// Membership returns the routers that are alive. The caller must not change the list.
func (f *Fleet) Membership(now time.Time) Membership {
	f.mu.Lock()
	defer f.mu.Unlock()
	snap := f.snapshotAt(now)
	same := func(addr string, r rankKey) bool { return addr == r.addr }
	if !slices.EqualFunc(f.membership.Peers, snap.ranking, same) {
		peers := make([]string, 0, len(snap.ranking))
		for _, r := range snap.ranking {
			peers = append(peers, r.addr)
		}
		f.membership.Peers, f.membership.ChangedAt = peers, now
	}
	f.membership.Known = len(f.peers) + 1
	f.membership.Lost = nil
	for _, p := range snap.lost {
		f.membership.Lost = append(f.membership.Lost, p.member.Peers)
	}
	if f.membership.HalfAliveSince.IsZero() {
		f.membership.HalfAliveSince = f.startedAt
	}
	if 2*len(f.membership.Peers) < f.membership.Known {
		f.membership.HalfAliveSince = now
	}
	return f.membership
}
