package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// refuseMany refuses many connections in one batch, each of which takes the given CPU time, and
// returns how many were refused.
func refuseMany(t *testing.T, r *refuser, callers int, used *time.Duration, cost time.Duration) int {
	began, n := r.startTiming(), 0
	for range callers {
		ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		require.NoError(t, err)
		_, err = unix.Write(ends[1], []byte(postRequest))
		require.NoError(t, err)
		if r.refuse(refusedConn{fd: ends[0], acceptedAt: start}) {
			*used += cost
			n++
		} else {
			require.NoError(t, unix.Close(ends[0]))
		}
		require.NoError(t, unix.Close(ends[1]))
	}
	r.measure(n, began)
	return n
}

// Guards against refusals that use up the time slices of a CPU quota: they fit into a slice, and
// seem a small part of the elapsed time.
func TestRefusalsLeaveMostOfEachQuotaSlice(t *testing.T) {
	const (
		timeSlice, cost = 10 * time.Millisecond, 60 * time.Microsecond
		slices, callers = 60, 150
	)
	var used time.Duration
	r := &refuser{budget: newRefusalBudget(0), processCPU: func() time.Duration { return used }, threadCPU: func() time.Duration { return used },
		refusal: func(time.Time) []byte { return []byte(refusal) }}
	spent := time.Duration(0)
	for i := range slices {
		began := used
		n := refuseMany(t, r, callers, &used, cost)
		used = max(used, began+timeSlice)
		if i >= slices/2 {
			spent += time.Duration(n) * cost
		}
	}
	total := slices / 2 * timeSlice
	require.LessOrEqual(t, spent, total/2)
	require.Greater(t, spent, total/4, "most of the refusals' share may be used")
}

// Guards against a budget that isn't replenished while connections are shed one by one.
func TestSingleRefusalsAreAllowedOverTime(t *testing.T) {
	var used time.Duration
	r := &refuser{budget: newRefusalBudget(0), processCPU: func() time.Duration { return used }, threadCPU: func() time.Duration { return used },
		refusal: func(time.Time) []byte { return []byte(refusal) }}
	r.startTiming()
	r.budget.spend(maxRefusalBurst, r.cpuTime)
	require.False(t, r.canRefuse())
	used = time.Second
	require.True(t, r.canRefuse())
}

// Guards against connections that are closed because other threads of the process work beside the
// refusals.
func TestCPUTimeOfOtherThreadsIsNotCounted(t *testing.T) {
	began := cpuTimes{process: 100, thread: 40}
	require.EqualValues(t, 10, cpuTimes{process: 180, thread: 50}.since(began))
	require.EqualValues(t, 80, cpuTimes{process: 180, thread: 30}.since(began), "on another thread")
	require.EqualValues(t, 80, cpuTimes{process: 180, thread: 900}.since(began), "on another thread")
}
