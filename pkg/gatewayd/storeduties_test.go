package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type fakeRanking struct{ count, rank int }

func (p fakeRanking) Count() int { return p.count }

func (p fakeRanking) Rank() int { return p.rank }

// Every router's own questions would be most of what a large fleet asks of the store; none
// asking would leave it without changes.
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

// All routers that ask the store at once when nobody tells them would be most of what it is
// asked in an outage.
func TestRoutersAskTheStoreInTurn(t *testing.T) {
	require.Zero(t, storeDuties{ranking: fakeRanking{count: 8, rank: 7}}.FallbackDelay())
	before := time.Duration(-1)
	for rank := range 295 {
		turn := storeDuties{ranking: fakeRanking{count: 295, rank: rank}}.FallbackDelay()
		require.Greater(t, turn, before)
		before = turn
	}
}

// A router that starts in a large fleet asks the store though others would tell it.
func TestRoutersOfALargeFleetWaitForPeersAtStart(t *testing.T) {
	joined, joining := func() bool { return true }, func() bool { return false }
	require.True(t, storeDuties{ranking: fakeRanking{count: 1}, joined: joining}.WaitsForPeers(joinTimeout/2))
	require.False(t, storeDuties{ranking: fakeRanking{count: 1}, joined: joining}.WaitsForPeers(joinTimeout))
	require.False(t, storeDuties{ranking: fakeRanking{count: 8, rank: 7}, joined: joined}.WaitsForPeers(0))
	require.False(t, storeDuties{ranking: fakeRanking{count: 295, rank: 3}, joined: joined}.WaitsForPeers(0))
	require.True(t, storeDuties{ranking: fakeRanking{count: 295, rank: 100}, joined: joined}.WaitsForPeers(startupWait/2))
	require.False(t, storeDuties{ranking: fakeRanking{count: 295, rank: 100}, joined: joined}.WaitsForPeers(startupWait))
}
