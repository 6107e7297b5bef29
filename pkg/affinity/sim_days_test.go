package affinity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against any order of releases, rollbacks, kills, cuts and outages in which a stream goes on at
// another version than the one that began it.
func TestNoStreamHoldsTwoVersionsInAnyOrderOfEvents(t *testing.T) {
	resumed, wentOn := 0, 0
	for seed := range uint64(*simSeeds) {
		s := newSim(seed + 1)
		for s.now.Before(time.Unix(1000, 0).Add(simLength)) {
			s.step()
		}
		require.Empty(t, s.mixed, "seed %d", seed+1)
		resumed, wentOn = resumed+s.resumed, wentOn+s.wentOn
	}
	t.Logf("%d of %d streams went on whose version was listed", wentOn, resumed)
	require.Greater(t, wentOn, resumed/2)
}
