package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A small router of a large fleet is late, and its hub seems not to answer; it turns to another
// one. Its last report still counts at the first hub, whose sum the second one passes on to it: it
// hears of its own use as that of others, and keeps that for seconds, as it misses the next
// reports. The organisation whose callers all come to it seems to get twice what it does, and is
// refused as far over its share:
//
//	organisation_use router=front-hall-c-6 asked=1003853 got=476137 fleet_asked=15213518 fleet_got=1033637 standing=2.42
//	exchange_role router=front-hall-c-6 before=10.3.0.4:8682 role=10.5.0.5:8682
func TestOwnUseIsNotTakenForThatOfOthersAfterAChangeOfHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		c := newCrowd(n)
		c.play(4 * time.Second)
		late := c.member("")
		before := late.fleet.last.own
		for range 3 {
			hub := late.fleet.peers[late.fleet.last.own]
			hub.failed, hub.tried = 1, time.Now()
			c.play(200 * time.Millisecond)
			require.InDelta(t, 5*(n-1), late.uses["org"].Got, 1e-6)
		}
		require.NotEqual(t, before, late.fleet.last.own)
		c.play(2 * aliveFor)
		require.InDelta(t, 5*(n-1), late.uses["org"].Got, 1e-6, "long after")
	})
}
