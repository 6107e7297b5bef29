package warmup

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// partitionedFleet returns a fleet that is partitioned into groups. Only the routers of group 0
// reach the store.
func partitionedFleet(groups []int, now time.Time) []*fleet {
	since := now.Add(-time.Minute)
	list := make([]*fleet, len(groups))
	for i, group := range groups {
		f := &fleet{current: group == 0, roster: Roster{Self: "r" + strconv.Itoa(i), Since: since, Joined: since, Known: len(groups)}}
		for j, other := range groups {
			if name := "r" + strconv.Itoa(j); other == group {
				f.roster.Routers = append(f.roster.Routers, name)
			} else {
				f.roster.Lost = append(f.roster.Lost, name)
			}
		}
		list[i] = f
	}
	return list
}

// Guards against a thundering herd at the upstreams of a zone that was evacuated and restored, and
// is cold, while some routers were partitioned, together or each alone, and received neither change.
func TestColdLimitHoldsDuringPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		size := rapid.IntRange(2, 24).Draw(t, "routers")
		groups := rapid.SliceOfN(rapid.IntRange(0, rapid.IntRange(1, size).Draw(t, "groups")), size, size).Draw(t, "group")
		if len(slices.Compact(slices.Sorted(slices.Values(groups)))) == 1 {
			groups[0] = 0 // otherwise no router reaches the store, and no zone is restored
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		in := newUpstream("i", "a", 0)
		f := &simFleet{now: now, upstream: in}
		var gates []*Gate
		for i, r := range partitionedFleet(groups, now) {
			g := r.gate()
			g.SetUpstreams(upstream.NewSet([]upstream.Instance{in}), now.Add(-time.Minute))
			if groups[i] == 0 {
				g.MarkRestored([]string{"a"}, now)
			}
			gates = append(gates, g)
		}
		for ; f.now.Before(now.Add(coldService.Warmup)); f.now = f.now.Add(simTick) {
			for range 3 * size {
				if gates[random.IntN(size)].Acquire(&in, coldService, f.now) {
					f.sent = append(f.sent, f.now)
				}
			}
		}
		require.LessOrEqual(t, f.maxPerSecond(), coldLimit)
	})
}

// Guards against routers that serve nothing while they are partitioned, and against ones that count
// as partitioned during an outage of the store.
func TestPartitionedRoutersSendSomeRequests(t *testing.T) {
	now := time.Now()
	var list []upstream.Instance
	for i := range 90 {
		list = append(list, newUpstream("i"+strconv.Itoa(i), "a", 0))
	}
	alone := make([]int, 90)
	alone[0] = 1
	r := partitionedFleet(alone, now)[0]
	g := r.gate()
	g.SetUpstreams(upstream.NewSet(list), now)
	total := 0
	for _, in := range list {
		total += countAllowed(g, in, 100, now)
	}
	require.Positive(t, total)
	require.LessOrEqual(t, total, 12*maxAssignees)

	outage := partitionedFleet([]int{1, 1, 1}, now)[0]
	g = outage.gate()
	g.SetUpstreams(upstream.NewSet(list), now)
	require.Equal(t, 1000, countAllowed(g, list[0], 1000, now))
}

// Guards against a limit that stays largely unused because of routers that are dead and not
// partitioned.
func TestLostRoutersReserveLittleOfTheLimit(t *testing.T) {
	p := splitLimit(coldLimit, 91)
	require.Equal(t, 16, p.assignees*p.limitBeside(0))
	require.Equal(t, 16, p.assignees*p.limitBeside(2))
	require.Equal(t, 8, p.assignees*p.limitBeside(maxAssignees))
	for most := range 200 {
		p := splitLimit(most, 91)
		for isolated := range p.assignees + 1 {
			require.LessOrEqual(t, p.assignees*p.limitBeside(isolated)+isolated*p.partitionedLimit, most)
			require.GreaterOrEqual(t, p.limitBeside(isolated), 0)
		}
	}
}
