package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type place struct{ count, rank int }

func (p place) Count() int { return p.count }

func (p place) Rank() int { return p.rank }

// Every router's own questions would be most of what a large fleet asks of the store; none
// asking would leave it without changes.
func TestFewRoutersReadForAll(t *testing.T) {
	for _, one := range []struct {
		place             place
		instances, config bool
	}{
		{place{count: 1, rank: 0}, true, true},
		{place{count: 8, rank: 7}, false, true},
		{place{count: 86, rank: 0}, true, true},
		{place{count: 86, rank: 2}, false, true},
		{place{count: 86, rank: 3}, false, false},
	} {
		d := duties{ranks: one.place}
		require.Equal(t, one.instances, d.ReadsInstances(), one.place)
		require.Equal(t, one.config, d.ReadsConfig(), one.place)
	}
}

// All routers that ask the store at once when nobody tells them would be most of what it is
// asked in an outage.
func TestRoutersAskTheStoreInTurn(t *testing.T) {
	require.Zero(t, duties{ranks: place{count: 8, rank: 7}}.Turn())
	before := time.Duration(-1)
	for rank := range 295 {
		turn := duties{ranks: place{count: 295, rank: rank}}.Turn()
		require.Greater(t, turn, before)
		before = turn
	}
}

// A router that starts in a large fleet asks the store though others would tell it.
func TestWeakRoutersHearFirst(t *testing.T) {
	known, unknown := func() bool { return true }, func() bool { return false }
	require.True(t, duties{ranks: place{count: 1}, settled: unknown}.HearsFirst(joinsWithin/2))
	require.False(t, duties{ranks: place{count: 1}, settled: unknown}.HearsFirst(joinsWithin))
	require.False(t, duties{ranks: place{count: 8, rank: 7}, settled: known}.HearsFirst(0))
	require.False(t, duties{ranks: place{count: 295, rank: 3}, settled: known}.HearsFirst(0))
	require.True(t, duties{ranks: place{count: 295, rank: 100}, settled: known}.HearsFirst(hearFirst/2))
	require.False(t, duties{ranks: place{count: 295, rank: 100}, settled: known}.HearsFirst(hearFirst))
}
