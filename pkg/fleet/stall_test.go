package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A router of a large fleet stalls for two seconds. The first check afterwards must detect the
// stall; otherwise the router would conclude that the fleet is small and ask all other routers at
// once.
func TestStalledRouterKeepsItsRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestFleet(48)
		c.run(4 * time.Second)
		stalled := c.member("")
		time.Sleep(2 * time.Second)
		asked := stalled.fleet.duePeers(time.Now())
		require.False(t, stalled.fleet.role.direct)
		require.LessOrEqual(t, len(asked), 1)
	})
}

// A CPU-starved router receives no reports for two seconds. If it counted itself as the whole
// fleet, it would allow itself the retries of the whole fleet, and read the store on behalf of
// all.
func TestStarvedRouterCountsRememberedRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		c := newTestFleet(n)
		c.run(4 * time.Second)
		starved := c.member("")
		starved.starved = true
		starved.fleet.request(starved.fleet.peers[starved.fleet.role.ownHub], false)
		time.Sleep(2 * time.Second)
		require.Equal(t, n, starved.fleet.Count())
	})
}
