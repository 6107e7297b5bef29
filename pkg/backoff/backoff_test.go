package backoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPausesDoubleUpToABoundOfTheFleet(t *testing.T) {
	var b Backoff
	before := time.Duration(0)
	for range 10 {
		pause := b.Failed(63)
		require.Greater(t, 2*pause, before, "shorter than the pause before by more than the jitter")
		require.LessOrEqual(t, pause, MaxPause(63))
		before = pause
	}
	require.Greater(t, before, time.Duration((1-jitter)*float64(MaxPause(63))-1))
	b.Succeeded()
	require.LessOrEqual(t, b.Failed(63), InitialPause)
}

func TestSmallFleetsDontWait(t *testing.T) {
	var b Backoff
	for range 10 {
		require.LessOrEqual(t, b.Failed(8), InitialPause)
	}
}

func TestTheLongestPauseGrowsWithTheFleet(t *testing.T) {
	require.Less(t, MaxPause(12), MaxPause(30))
	require.Equal(t, baseMaxPause, MaxPause(80))
	require.Equal(t, largeFleetMaxPause, MaxPause(100_000))
	for _, callers := range []int{30, 300, 1000} {
		require.LessOrEqual(t, float64(callers)/MaxPause(callers).Seconds(), 27.0, "calls a second by %d callers at their longest pause", callers)
	}
	require.Equal(t, InitialPause, MaxPause(0))
}
