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
// router is missed for aliveFor, and its place is taken within a few exchanges.
const sumsSettle = aliveFor + 2*groupLife + 2*memberIdle

// strike kills, revives, isolates or frees some routers of the crowd, drawn by chance.
func (c *crowd) strike(random *rand.Rand) string {
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
				r.loads = []InstanceLoad{{Instance: "common", Running: 1, Unread: 10}}
			}
			r.mu.Unlock()
		}
	}
	return fmt.Sprint([]string{"down", "up", "work"}[what], " ", count)
}

// work is the running work of all routers that are up but one.
func (c *crowd) work(not string) int {
	total := 0
	for addr, r := range c.routers {
		if addr == not || c.down[addr] {
			continue
		}
		for _, l := range r.loads {
			total += l.Running
		}
	}
	return total
}

// Routers die, come back, begin and end work in any order. Work that is counted twice, or that a
// sum goes on holding, makes engines seem full for good; a sum that feeds itself grows without
// end.
func TestSumsHoldWhileRoutersComeAndGo(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				n := 17 + random.IntN(40)
				c := newCrowd(n)
				c.play(2 * time.Second)
				for range 6 {
					what := c.strike(random)
					for range 4 {
						c.play(time.Duration(random.IntN(400)) * time.Millisecond)
						for _, r := range c.alive() {
							require.LessOrEqual(t, r.others[LifeKey{Instance: "common"}].Running, 2*n, "while %s: a sum feeds itself", what)
						}
					}
				}
				c.play(sumsSettle)
				for _, r := range c.alive() {
					require.Equal(t, c.work(r.fleet.self.Peers), r.others[LifeKey{Instance: "common"}].Running, "at %s", r.fleet.self.Peers)
				}
			})
		})
	}
}
