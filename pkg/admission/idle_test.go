package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an overloaded router under a CPU quota that takes itself for idle: it is stalled
// for 90 ms in each tenth of a second, and when that happened while it waited for a connection it
// forgot its last slow round, although many callers had arrived. It then shed nobody until the next
// slow round, and more than half of the callers in a second got no response.
func TestStalledProcessIsNotIdle(t *testing.T) {
	l := newTestListener(t, 0)
	defer l.Close()
	l.now = (&manualClock{at: start}).advancingBy(45 * time.Millisecond) // the process is stalled between any two readings
	for range 3 {
		dial(t, l)
	}
	l.rounds.startNext(slowRound+time.Millisecond, start)
	for waiting := 2; waiting >= 0; waiting-- {
		c, err := l.Accept()
		require.NoError(t, err)
		c.(*Conn).ReleaseReadSlot()
		require.Equal(t, waiting > 0, l.rounds.slow(start), "%d connections wait", waiting)
	}
}

// Guards against rounds that double from an idle moment on: an overloaded router under a CPU quota
// catches up in its time slice, and then admitted 32, 64, 128 and 256 connections in that slice.
// Reading them took a second, in which 853 of 973 callers got no response.
func TestIdleMomentDoesNotEndOverload(t *testing.T) {
	r := rounds{size: initialRoundSize}
	r.startNext(slowRound+time.Millisecond, start)
	r.reset()
	require.False(t, r.slow(start), "the next burst isn't shed because of it")
	for range 4 {
		r.startNext(time.Millisecond, start)
	}
	require.Equal(t, initialRoundSize+4*minRoundSize, r.size)
	r.startNext(slowRound+time.Millisecond, start)
	require.True(t, r.overloaded(start))

	idle := rounds{size: initialRoundSize}
	idle.startNext(time.Millisecond, start)
	require.Equal(t, 2*initialRoundSize, idle.size)
}
