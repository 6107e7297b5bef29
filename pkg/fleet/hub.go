package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

// In a small fleet every router reports its work to every other one. In a larger fleet that would
// cost each router as many exchanges as there are routers, and reports would be stale before they
// had reached all of them. There some routers are hubs: each of the others, the members, reports
// to one hub, which answers with the totals of all routers; hubs exchange the totals of their
// groups.
//
// Hubs are not elected: each router derives them from the routers that it considers alive. Where
// two views differ for a moment, some work is counted twice or not at all until a group's report
// expires.
const (
	// directLimit is the size of the largest fleet without hubs.
	directLimit = 16
	// groupSize is the usual number of routers per hub; with minHubs the loss of two hubs leaves
	// one.
	groupSize = 12
	minHubs   = 3
	// maxHubs bounds the number of hubs, as each exchanges with every other one. In larger fleets
	// the groups grow instead, and their members exchange less often.
	maxHubs = 16
	// minHubPower is the least power of a hub, as a fraction of the strongest router's.
	minHubPower = 0.5
	// memberInterval is the time between a member's exchanges with its hub and hubInterval the
	// least time between two exchanges of hubs, for routers that are CPU-starved;
	// memberFastInterval and hubFastInterval apply to all others, as work in flight changes
	// within some hundredths of a second. Members that have received no request since the last
	// exchange have no decisions to make and use memberInterval, too.
	memberInterval     = 150 * time.Millisecond
	hubInterval        = 100 * time.Millisecond
	memberFastInterval = 60 * time.Millisecond
	hubFastInterval    = 60 * time.Millisecond
	// intervalPerHub lengthens the fast interval where there are many hubs, as intervalPerPeer
	// does the usual one; intervalPerMember does so for the members of a large group.
	intervalPerHub    = intervalPerPeer / 2
	intervalPerMember = 2 * time.Millisecond
	// memberIdleInterval applies to an idle member: its hub has nothing to learn from it, and it
	// asks immediately when a request arrives.
	memberIdleInterval = 500 * time.Millisecond
	// groupTimeout is how long after a member's last report its work counts in the group: a
	// router that changes its hub is counted twice for no longer.
	groupTimeout = 600 * time.Millisecond
	// hubRetryAfter is how long a hub that did not answer is avoided.
	hubRetryAfter = 3 * time.Second
)

// role is a router's role in the exchange.
type role struct {
	// direct says that every router reports to every other one.
	direct bool
	// hubs are the peer addresses of the hubs in rank order.
	hubs []string
	// hub says that this router is a hub; otherwise ownHub is the hub that it reports to.
	hub    bool
	ownHub string
}

// isHub reports whether the router at addr is a hub.
func (r role) isHub(addr string) bool { return slices.Contains(r.hubs, addr) }

// name is the role for logs and operators: "direct", "hub", or the address of the own hub.
func (r role) name() string {
	switch {
	case r.direct:
		return "direct"
	case r.hub:
		return "hub"
	}
	return r.ownHub
}

// updateRole recomputes this router's role, and logs a change.
func (f *Fleet) updateRole(now time.Time) {
	snap := f.snapshotAt(now)
	if f.roleSnapshotAt.Equal(snap.at) && !f.ownHubFailed() {
		return
	}
	f.roleSnapshotAt = snap.at
	previous := f.role.name()
	f.role = f.computeRole(snap, now)
	if f.role.name() == previous {
		return
	}
	f.roleSince = now
	f.log.WithFields(log.Fields{"event": "exchange_role", "role": f.role.name(), "before": previous, "hubs": len(f.role.hubs), "routers": snap.count}).Info("exchange role changed")
}

// ownHubFailed reports whether the last exchange with this router's hub failed.
func (f *Fleet) ownHubFailed() bool {
	p := f.peers[f.role.ownHub]
	return f.role.ownHub != "" && (p == nil || p.failures > 0)
}

// computeRole derives this router's role from a snapshot.
func (f *Fleet) computeRole(snap *snapshot, now time.Time) role {
	if snap.count <= directLimit {
		return role{direct: true}
	}
	r := role{}
	for _, s := range snap.ranking[:hubCount(snap.ranking)] {
		r.hubs = append(r.hubs, s.addr)
	}
	r.hub = r.isHub(f.self.Peers)
	if !r.hub {
		r.ownHub = f.chooseHub(r.hubs, now)
	}
	return r
}

// starvedFor is how long a router counts as CPU-starved after this was last observed.
const starvedFor = 5 * time.Second

// hubCount returns the number of hubs of a fleet, given in rank order: one for each group, but no
// weak ones, and no more than can exchange with each other often enough.
func hubCount(routers []rankKey) int {
	wanted := int(math.Ceil(float64(len(routers)) / groupSize))
	strong := 0
	for strong < len(routers) && routers[strong].power >= minHubPower*routers[0].power {
		strong++
	}
	return max(minHubs, min(wanted, maxHubs, strong))
}

// chooseHub returns the hub to report to: preferably one that answered last time and is in this
// router's zone, as traffic within a zone is fast and free.
func (f *Fleet) chooseHub(hubs []string, now time.Time) string {
	best, bestScore := "", -1.0
	for _, addr := range hubs {
		p := f.peers[addr]
		if p == nil {
			continue // forgotten since the snapshot
		}
		score := float64(xxhash.Sum64String(f.self.Peers+addr)) / (1 << 64)
		if p.member.Zone == f.self.Zone {
			score += sameZoneScore
		}
		if addr == f.role.ownHub {
			score += currentHubScore
		}
		if p.failures == 0 || now.Sub(p.askedAt) > hubRetryAfter {
			score += answeredScore
		}
		if score > bestScore {
			best, bestScore = addr, score
		}
	}
	return best
}

// Scores in the choice of a hub; a hash below 1 spreads the members over equal hubs.
const (
	sameZoneScore   = 1.0
	currentHubScore = 0.9
	answeredScore   = 3.0
)
