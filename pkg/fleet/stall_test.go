package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A router of a large fleet stands still for two seconds. At its first look afterwards nobody
// has noted yet that it was late, so it takes itself for one of a small fleet and asks all
// others at once.
func TestRouterThatStoodStillStaysInItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(48)
		c.play(4 * time.Second)
		late := c.member("")
		time.Sleep(2 * time.Second)
		asked := late.fleet.due(time.Now())
		require.False(t, late.fleet.last.direct)
		require.LessOrEqual(t, len(asked), 1)
	})
}

// A late router hears of nobody for two seconds. Counted as one of one, it allows itself the
// repeats of the whole fleet, and reads the store for all.
func TestLateRouterCountsTheFleetThatItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		c := newCrowd(n)
		c.play(4 * time.Second)
		late := c.member("")
		late.late = true
		late.fleet.question(late.fleet.peers[late.fleet.last.own], false)
		time.Sleep(2 * time.Second)
		require.Equal(t, n, late.fleet.Count())
	})
}
