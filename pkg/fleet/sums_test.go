package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// sumsSettle is the time after the last event within which all sums must be right again: a lost
// router counts as alive for aliveTimeout, and a lost hub is replaced within a few exchanges.
const sumsSettle = aliveTimeout + 2*groupTimeout + 2*memberIdleInterval

// disturb kills or revives some random routers, or changes their work.
func (c *testFleet) disturb(random *rand.Rand) string {
	addrs := slices.Sorted(maps.Keys(c.routers))
	count := 1 + random.IntN(len(addrs)/2)
	what := random.IntN(3)
	for range count {
		addr := addrs[random.IntN(len(addrs))]
		switch what {
		case 0:
			c.down[addr] = true
		case 1:
			c.down[addr] = false
		case 2:
			r := c.routers[addr]
			r.mu.Lock()
			if r.loads = nil; random.IntN(2) == 0 {
				r.loads = []InstanceLoad{{Instance: "common", Running: 1, PrefillTokens: 10}}
			}
			r.mu.Unlock()
		}
	}
	return fmt.Sprint([]string{"down", "up", "work"}[what], " ", count)
}

// workOfOthers is the work in flight of all routers that are up, except one.
func (c *testFleet) workOfOthers(except string) int {
	total := 0
	for addr, r := range c.routers {
		if addr == except || c.down[addr] {
			continue
		}
		for _, l := range r.loads {
			total += l.Running
		}
	}
	return total
}

// Routers die, come back, begin and end work in any order. Work that is counted twice, or that
// stays in a sum, makes engines seem full for good; a sum that includes itself grows without end.
func TestSumsHoldWhileRoutersComeAndGo(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				n := 17 + random.IntN(40)
				c := newTestFleet(n)
				c.run(2 * time.Second)
				for range 6 {
					what := c.disturb(random)
					for range 4 {
						c.run(time.Duration(random.IntN(400)) * time.Millisecond)
						for _, r := range c.alive() {
							require.LessOrEqual(t, r.others[LifeKey{Instance: "common"}].Running, 2*n, "after %s: a sum includes itself", what)
						}
					}
				}
				c.run(sumsSettle)
				for _, r := range c.alive() {
					require.Equal(t, c.workOfOthers(r.fleet.self.Peers), r.others[LifeKey{Instance: "common"}].Running, "at %s", r.fleet.self.Peers)
				}
			})
		})
	}
}
