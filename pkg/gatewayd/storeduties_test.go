package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type fakeRanking struct{ count, rank int }

func (p fakeRanking) Count() int { return p.count }

func (p fakeRanking) Rank() int { return p.rank }

// Guards against a large fleet in which every router queries the store, which would be most of its
// load, and against one in which none does and changes never arrive.
func TestFewRoutersReadTheStore(t *testing.T) {
	for _, one := range []struct {
		ranking           fakeRanking
		instances, config bool
	}{
		{fakeRanking{count: 1, rank: 0}, true, true},
		{fakeRanking{count: 8, rank: 7}, false, true},
		{fakeRanking{count: 86, rank: 0}, true, true},
		{fakeRanking{count: 86, rank: 2}, false, true},
		{fakeRanking{count: 86, rank: 3}, false, false},
	} {
		d := storeDuties{ranking: one.ranking}
		require.Equal(t, one.instances, d.ReadsInstances(), one.ranking)
		require.Equal(t, one.config, d.ReadsConfig(), one.ranking)
	}
}

// Guards against routers that all query the store at once when no peer reports, which would be most
// of its load in an outage.
func TestRoutersAskTheStoreInTurn(t *testing.T) {
	require.Zero(t, storeDuties{ranking: fakeRanking{count: 8, rank: 7}}.FallbackDelay())
	before := time.Duration(-1)
	for rank := range 295 {
		turn := storeDuties{ranking: fakeRanking{count: 295, rank: rank}}.FallbackDelay()
		require.Greater(t, turn, before)
		before = turn
	}
}

// Guards against a router that queries the store at its start in a large fleet although peers would
// send it everything.
func TestRoutersOfALargeFleetWaitForPeersAtStart(t *testing.T) {
	joined, joining := func() bool { return true }, func() bool { return false }
	require.True(t, storeDuties{ranking: fakeRanking{count: 1}, joined: joining}.WaitsForPeers(joinTimeout/2))
	require.False(t, storeDuties{ranking: fakeRanking{count: 1}, joined: joining}.WaitsForPeers(joinTimeout))
	require.False(t, storeDuties{ranking: fakeRanking{count: 8, rank: 7}, joined: joined}.WaitsForPeers(0))
	require.False(t, storeDuties{ranking: fakeRanking{count: 295, rank: 3}, joined: joined}.WaitsForPeers(0))
	require.True(t, storeDuties{ranking: fakeRanking{count: 295, rank: 100}, joined: joined}.WaitsForPeers(startupWait/2))
	require.False(t, storeDuties{ranking: fakeRanking{count: 295, rank: 100}, joined: joined}.WaitsForPeers(startupWait))
}
