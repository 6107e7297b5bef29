package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

func limitsAt(share float64) placement.Limits {
	return PromptLimits(Request{Objective: time.Second, Prefill: 100 * time.Millisecond, Standing: placement.Standing{ShareRatio: share, AtCapacity: true}})
}

func TestLimitsFallWithTheShareRatio(t *testing.T) {
	require.EqualValues(t, occupancyFloor, maxOccupancy(5))
	require.Greater(t, maxOccupancy(10), 2*maxOccupancy(25))
	before := limitsAt(1.01)
	for _, share := range []float64{1.5, 2.5, 6, 20} {
		l := limitsAt(share)
		require.Less(t, l.Queue, before.Queue)
		require.Less(t, l.Harm, before.Harm)
		require.LessOrEqual(t, l.Occupancy, before.Occupancy)
		before = l
	}
}

// Guards against an organisation far over its share that fills every idle engine by having its
// prompts fetched, instead of being refused where the engines that have them cached are busy.
func TestFarOverTheShareTheReserveIgnoresFetching(t *testing.T) {
	require.True(t, limitsAt(10).ReserveIgnoresFetch)
	require.False(t, limitsAt(1.5).ReserveIgnoresFetch)
	require.False(t, limitsAt(0.5).ReserveIgnoresFetch)
}

func TestWithinTheShareNothingIsShed(t *testing.T) {
	l := limitsAt(0.9)
	require.Equal(t, placement.Limits{Wait: 800 * time.Millisecond, Queue: 800 * time.Millisecond, ChosenQueue: 800 * time.Millisecond, RecomputeReserve: reserve}, l)
	require.EqualValues(t, underShareReserve, limitsAt(0.5).RecomputeReserve)
}

// A prompt whose prefill takes longer than the objective is late at any engine. If it were refused
// for that, it would never run.
func TestLongPromptsGetTheTimeOfTheirPrefill(t *testing.T) {
	l := PromptLimits(Request{Objective: 500 * time.Millisecond, Prefill: time.Second})
	require.Equal(t, 1200*time.Millisecond, l.Wait)
}

func TestWaitedTimeCounts(t *testing.T) {
	l := PromptLimits(Request{Objective: time.Second, Waited: 300 * time.Millisecond})
	require.Equal(t, 500*time.Millisecond, l.Wait)
}
