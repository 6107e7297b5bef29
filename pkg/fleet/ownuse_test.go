package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A small router of a large fleet is CPU-starved, its hub seems not to answer, and it changes its
// hub. Its last report still counts at the first hub, whose totals the second one passes on to
// it: it receives its own use as that of other routers, and keeps that for seconds, as it misses
// the next reports. The organisation whose callers all use this router seems to get twice its
// actual traffic, and is refused as far over its fair share:
//
//	organisation_use router=front-hall-c-6 asked=1003853 got=476137 fleet_asked=15213518 fleet_got=1033637 standing=2.42
//	exchange_role router=front-hall-c-6 before=10.3.0.4:8682 role=10.5.0.5:8682
func TestOwnUseIsNotTakenForThatOfOthersAfterAChangeOfHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		c := newTestFleet(n)
		c.run(4 * time.Second)
		starved := c.member("")
		before := starved.fleet.role.ownHub
		for range 3 {
			hub := starved.fleet.peers[starved.fleet.role.ownHub]
			hub.failures, hub.askedAt = 1, time.Now()
			c.run(200 * time.Millisecond)
			require.InDelta(t, 5*(n-1), starved.uses["org"].Got, 1e-6)
		}
		require.NotEqual(t, before, starved.fleet.role.ownHub)
		c.run(2 * aliveTimeout)
		require.InDelta(t, 5*(n-1), starved.uses["org"].Got, 1e-6, "after the former hub has dropped the report")
	})
}
