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
		require.LessOrEqual(t, s.store.mostRows, 2*simWriters*int(s.routers[0].RowLife()/simKeeping), "rows of records, seed %d", seed+1)
		resumed, wentOn = resumed+s.resumed, wentOn+s.wentOn
	}
	t.Logf("%d of %d streams went on whose version was listed", wentOn, resumed)
	require.Greater(t, wentOn, resumed/2)
}

// Guards against streams that nobody knows after a kill of all routers: on the same days more go on by the records in the
// store.
func TestRecordsInTheStoreLetMoreStreamsGoOn(t *testing.T) {
	share := func(unkept bool) float64 {
		resumed, wentOn := 0, 0
		for seed := range uint64(*simSeeds) {
			s := newSim(seed + 1)
			s.unkept = unkept
			for s.now.Before(time.Unix(1000, 0).Add(simLength)) {
				s.step()
			}
			resumed, wentOn = resumed+s.resumed, wentOn+s.wentOn
		}
		return float64(wentOn) / float64(resumed)
	}
	with, without := share(false), share(true)
	t.Logf("%.3f with records in the store, %.3f without", with, without)
	require.Greater(t, with, without)
}
