package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

// In a small fleet every router tells every other one of its work. In a larger one that
// would cost each router as many exchanges as there are routers, and reports would be old
// before they have gone round. There some routers are hubs: each of the others tells one
// hub, which gives it the work of all; hubs tell each other the sums of their groups.
//
// Nobody appoints hubs: each router works them out from the routers that it takes to be
// alive. Where two views differ for a moment, some work is counted twice or not at all for
// as long as a group's report lives.
const (
	// directLimit is the largest fleet without hubs.
	directLimit = 16
	// groupSize is the usual number of routers to a hub; leastHubs are enough that the loss
	// of two leaves one.
	groupSize = 12
	leastHubs = 3
	// memberEvery is the pause between two exchanges with the own hub, hubEvery the least one
	// between two of hubs, for routers that are short of processor; memberQuick and hubQuick are
	// those of all others, as what is in progress changes within some hundredths of a second.
	memberEvery = 150 * time.Millisecond
	hubEvery    = 100 * time.Millisecond
	memberQuick = 60 * time.Millisecond
	hubQuick    = 60 * time.Millisecond
	// perHub stretches the quick pause of many hubs, as perPeer does the usual one.
	perHub = perPeer / 2
	// groupLife is how long work counts to a group after its last report: a router that
	// chooses another hub is counted twice no longer.
	groupLife = 600 * time.Millisecond
	// avoidFor is how long a hub that did not answer is passed over.
	avoidFor = 3 * time.Second
)

// role is a router's place in the exchange.
type role struct {
	// direct: everybody tells everybody.
	direct bool
	// hubs are the hubs' addresses for peers, the strongest routers first.
	hubs []string
	// hub is whether this router is one, own the hub that it reports to when it is none.
	hub bool
	own string
}

// isHub reports whether the router at addr is a hub.
func (r role) isHub(addr string) bool { return slices.Contains(r.hubs, addr) }

// name is the role for logs and operators: "direct", "hub", or the hub's address.
func (r role) name() string {
	switch {
	case r.direct:
		return "direct"
	case r.hub:
		return "hub"
	}
	return r.own
}

// takeRole works the role out anew, and logs when it is another.
func (f *Fleet) takeRole(now time.Time) {
	before := f.last.name()
	f.last = f.role(now)
	if f.last.name() == before {
		return
	}
	f.hubSince = now
	f.log.WithFields(log.Fields{"event": "exchange_role", "role": f.last.name(), "before": before, "hubs": len(f.last.hubs)}).Info("other place in the exchange")
}

// role works out this router's place.
func (f *Fleet) role(now time.Time) role {
	routers := f.counted(now)
	if len(routers) <= directLimit {
		return role{direct: true}
	}
	slices.SortFunc(routers, byStrength)
	r := role{}
	for _, m := range routers[:hubCount(len(routers))] {
		r.hubs = append(r.hubs, m.Peers)
	}
	r.hub = r.isHub(f.self.Peers)
	if !r.hub {
		r.own = f.chooseHub(r.hubs, now)
	}
	return r
}

// lateFor is how long after it was last short of processor a router counts as late.
const lateFor = 5 * time.Second

// counted gives the routers that this one's place follows from, itself included.
//
// Guard: a router that gets too little processor hears of few others for a while. Taking
// itself for one of a small fleet, it would ask every router that it knows for that one's own
// work, a hundred a second, and its hub no longer for everybody's: it would fall behind for
// good and go by what a handful of routers do. A late router goes by all that it remembers.
func (f *Fleet) counted(now time.Time) []Member {
	late := now.Sub(f.lateAt) < lateFor
	list := []Member{f.self}
	for _, p := range f.peers {
		if p.alive(now) || late && p.everAlive() {
			list = append(list, p.member)
		}
	}
	return list
}

func hubCount(routers int) int {
	return max(leastHubs, int(math.Ceil(float64(routers)/groupSize)))
}

// byStrength puts routers with more processor first, equal ones in an order that all
// routers agree on.
func byStrength(a, b Member) int {
	if a.Power != b.Power {
		return cmp.Compare(b.Power, a.Power)
	}
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Peers), xxhash.Sum64String(b.Peers)), cmp.Compare(a.Peers, b.Peers))
}

// chooseHub gives the hub to report to: one of the own zone, as traffic within a zone is
// fast and free, that answered last time.
func (f *Fleet) chooseHub(hubs []string, now time.Time) string {
	best, bestScore := "", -1.0
	for _, addr := range hubs {
		p := f.peers[addr]
		score := float64(xxhash.Sum64String(f.self.Peers+addr)) / (1 << 64)
		if p.member.Zone == f.self.Zone {
			score += sameZone
		}
		if addr == f.last.own {
			score += present
		}
		if p.failed == 0 || now.Sub(p.tried) > avoidFor {
			score += answers
		}
		if score > bestScore {
			best, bestScore = addr, score
		}
	}
	return best
}

// What counts in the choice of a hub, beside a share of chance below 1.
const (
	sameZone = 1.0
	present  = 0.9
	answers  = 3.0
)
