package warmup

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/internal/rendezvous"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Roster holds the routers that upstreams are assigned to, as seen by one router.
type Roster struct {
	// Self is this router, Routers are all routers that take part, Lost the known ones that are
	// silent.
	Self          string
	Routers, Lost []string
	// Since is when Routers last changed, Joined since when this router has seen at least
	// half of the known routers.
	Since, Joined time.Time
	// Known is the number of known routers, including lost ones and this one.
	Known int
}

// seesMajority reports whether the router sees more than half of the known routers. One that sees
// fewer may itself be the partitioned one.
func (r *Roster) seesMajority() bool { return 2*len(r.Lost) < r.Known }

// isAssigned reports whether a life of an upstream is assigned to this router.
func (r *Roster) isAssigned(life upstream.Life, assignees int) bool {
	if 2*len(r.Routers) < r.Known {
		return false
	}
	return slices.Contains(topRanked(life, assignees, r.Routers), r.Self)
}

// isAssignedWhilePartitioned reports the same for a partitioned router, which ranks all known
// routers.
func (r *Roster) isAssignedWhilePartitioned(life upstream.Life, assignees int) bool {
	return slices.Contains(topRanked(life, assignees, r.Routers, r.Lost), r.Self)
}

// countPartitionedAssignees returns the number of lost routers that a life is assigned to if they
// are partitioned.
func (r *Roster) countPartitionedAssignees(life upstream.Life, assignees int) int {
	if len(r.Lost) == 0 {
		return 0
	}
	n := 0
	for _, router := range topRanked(life, assignees, r.Routers, r.Lost) {
		if slices.Contains(r.Lost, router) {
			n++
		}
	}
	return n
}

// topRanked returns the n routers of the lists that rank highest for a life.
func topRanked(life upstream.Life, n int, lists ...[]string) []string {
	type ranked struct {
		router string
		score  uint64
	}
	key := xxhash.Sum64String(string(life.ID)) ^ uint64(life.Start)
	best := make([]ranked, 0, n+1)
	for _, list := range lists {
		for _, router := range list {
			one := ranked{router: router, score: rendezvous.Score(key, router)}
			at, _ := slices.BinarySearchFunc(best, one.score, func(r ranked, score uint64) int {
				if r.score > score {
					return -1
				}
				return 1
			})
			if at < n {
				best = slices.Insert(best, at, one)[:min(n, len(best)+1)]
			}
		}
	}
	routers := make([]string, len(best))
	for i, r := range best {
		routers[i] = r.router
	}
	return routers
}
