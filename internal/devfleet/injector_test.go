package devfleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection breaks at a router that was killed at 10 s and was back at 12 s. Only
// calls in progress in that time are explained by it; all other broken connections
// are the system's own and must be counted, also those at a paused router.
func TestOnlyAKillExplainsABrokenConnection(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	j := NewInjector(nil)
	j.done = []Injected{
		{Fault: Fault{Kind: FaultKill}, Entry: "a", From: at(10), To: at(12)},
		{Fault: Fault{Kind: FaultPause}, Entry: "b", From: at(10), To: at(12)},
		{Fault: Fault{Kind: FaultKill}, Entry: "c", From: at(20)},
	}
	require.True(t, j.Killed("a", at(8), at(10)))
	require.True(t, j.Killed("a", at(11), at(11)))
	require.False(t, j.Killed("a", at(8), at(9)))
	require.False(t, j.Killed("a", at(13), at(14)))
	require.False(t, j.Killed("b", at(8), at(13)))
	require.True(t, j.Killed("c", at(19), at(30)))
}

func TestFaultsFollowFromTheSeed(t *testing.T) {
	plan := SeededFaults(5, 8, 10*time.Second)
	require.Equal(t, plan, SeededFaults(5, 8, 10*time.Second))
	require.NotEqual(t, plan, SeededFaults(6, 8, 10*time.Second))
	for i, f := range plan {
		require.Less(t, f.Router, 8)
		require.Less(t, f.At+f.For, 10*time.Second)
		require.True(t, i == 0 || plan[i-1].At < f.At)
	}
}
