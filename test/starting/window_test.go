package starting_test

import (
	"math/rand/v2"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
)

const (
	// longest is the longest time from the start to the signal; the latest one at
	// which a start was seen to end is 8 ms.
	longest = 10 * time.Millisecond
	// tries is the number of starts with other delays, enough for one each 0.1 ms.
	tries = 100
)

// Whoever starts routers can leave no moment at which SIGHUP ends one: it starts them
// with the signal ignored. The window that no code of a program can close, from exec until
// its runtime has started, then ends none, at whatever moment the signal comes.
func TestARouterStartedWithTheSignalIgnoredIsNeverEndedByIt(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	for _, program := range routers {
		for i := range tries {
			delay := longest * time.Duration(i) / tries
			require.False(t, endedBySignal(t, program, delay), "%s after %s", program, delay)
		}
	}
}

// BenchmarkWindow measures the time from exec during which SIGHUP ends a router that was
// started with the signal's default action: signals come at any moment of the first 10 ms,
// and the share of starts that end is the window's share of them.
func BenchmarkWindow(b *testing.B) {
	for _, program := range routers {
		b.Run(program, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			ended := 0
			for b.Loop() {
				if endedBySignal(b, program, time.Duration(random.Int64N(int64(longest)))) {
					ended++
				}
			}
			b.ReportMetric(longest.Seconds()*1e3*float64(ended)/float64(b.N), "ms-window")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// endedBySignal starts the program with settings that don't exist, sends SIGHUP after delay
// and says whether that ended it; otherwise the program ends by itself.
func endedBySignal(t testing.TB, program string, delay time.Duration) bool {
	cmd := exec.Command(failtest.Program(program), "run", "-settings", "/nonexistent")
	require.NoError(t, cmd.Start())
	for begun := time.Now(); time.Since(begun) < delay; { // a timer would come up to a millisecond late
	}
	_ = cmd.Process.Signal(syscall.SIGHUP) // it may have ended by itself
	require.Error(t, cmd.Wait())
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	require.True(t, ok)
	if status.Signaled() {
		require.Equal(t, syscall.SIGHUP, status.Signal(), program)
		return true
	}
	require.Equal(t, exitSettings, status.ExitStatus(), program)
	return false
}
