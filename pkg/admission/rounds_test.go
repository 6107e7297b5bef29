package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Slow rounds shrink the next round and shed what still waits; fast rounds enlarge it.
func TestRoundSizeFollowsRoundDuration(t *testing.T) {
	r := rounds{size: initialRoundSize}
	fill := func() {
		for !r.full() {
			r.countAdmitted()
		}
	}
	fill()
	r.startNext(slowRound+time.Millisecond, start)
	require.Equal(t, initialRoundSize/2, r.size)
	require.True(t, r.slow(start))
	require.False(t, r.slow(start.Add(roundTTL)), "the round is too long ago")
	require.False(t, r.full())
	for range 20 {
		r.startNext(time.Second, start)
	}
	require.Equal(t, minRoundSize, r.size)
	r.startNext(fastRound-time.Millisecond, start)
	require.Equal(t, 2*minRoundSize, r.size)
	require.False(t, r.slow(start))
	for range 20 {
		r.startNext(0, start)
	}
	require.Equal(t, 22*minRoundSize, r.size, "rounds grow by steps after a recent slow round")
	for range 20 {
		r.startNext(0, start.Add(overloadMemory))
	}
	require.Equal(t, maxRoundSize, r.size)
	r.countAdmitted()
	r.restart()
	require.Zero(t, r.admitted)
}

// Guards against a router under a CPU quota that admits far less than it can serve, and against one
// that goes on admitting what it can no longer serve.
func TestQuotaPausesDoNotShrinkRoundsBelowCapacity(t *testing.T) {
	const perSlice, pause = 50, 90 * time.Millisecond
	r, a, now := rounds{size: perSlice}, arrivals{}, start
	runRound := func(n int) {
		for range n {
			r.countAdmitted()
			a.countAdmitted(now)
		}
		now = now.Add(quotaPeriod)
		r.perQuotaPeriod = a.admittedPerPeriod(now)
		r.startNext(pause, now)
	}
	for range 40 * perSlice {
		a.countAdmitted(now)
		now = now.Add(quotaPeriod / perSlice)
	}
	for range 50 {
		runRound(perSlice)
	}
	require.GreaterOrEqual(t, r.size, perSlice*3/4)
	for range 50 {
		runRound(1)
	}
	require.Equal(t, minRoundSize, r.size)
}
