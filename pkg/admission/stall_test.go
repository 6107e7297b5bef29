package admission

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pendingBurst is the number of callers that wait in the kernel's backlog before the first is
// accepted. Any system's backlog holds as many.
const pendingBurst = 120

// Guards against an idle router that sheds most of a burst because the process is stalled for a
// tenth of a second while it reads the first requests, as under a CPU quota. One slow round alone
// isn't an overload: 815 of 1,000 callers were shed by it.
func TestBurstDuringAStallIsAdmitted(t *testing.T) {
	for _, stalled := range []int{1, 2, 4} {
		l := newTestListener(t, 0)
		clock := &manualClock{at: start}
		round := 0
		l.now = clock.now
		l.yield = func() {
			runtime.Gosched()
			if round++; round == stalled {
				clock.advance(slowRound + 20*time.Millisecond)
			}
		}
		s := &http.Server{Handler: http.NotFoundHandler(), ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateActive {
				c.(*Conn).ReleaseReadSlot()
			}
		}}
		var callers, connected sync.WaitGroup
		connected.Add(pendingBurst)
		var n atomic.Int64
		for range 1000 {
			callers.Go(func() {
				requestStatus(t, l.Addr().String(), func() {
					if n.Add(1) <= pendingBurst {
						connected.Done()
					}
				})
			})
		}
		connected.Wait()
		go s.Serve(l)
		callers.Wait()
		s.Close()
		refused, closed := l.ShedCounts()
		require.Zero(t, refused+closed, "stalled in round %d", stalled)
	}
}

// Two slow rounds mean overload: connections that wait are then shed.
func TestTwoSlowRoundsAreAnOverload(t *testing.T) {
	r := rounds{size: initialRoundSize}
	r.startNext(slowRound+time.Millisecond, start)
	require.False(t, r.overloaded(start), "the process may have been stalled for a moment")
	r.startNext(slowRound+time.Millisecond, start)
	require.True(t, r.overloaded(start))
	require.False(t, r.overloaded(start.Add(roundTTL)))
	r.startNext(fastRound, start)
	require.False(t, r.overloaded(start))
}

// Under a CPU quota one round in each tenth of a second is slow, and those between are fast. If two
// slow rounds in a row were required, hardly any connection would be shed, and most callers would
// get no response: 728 of 1,032 in a second.
func TestSlowRoundsBetweenQuickOnesAreAnOverload(t *testing.T) {
	r := rounds{size: initialRoundSize}
	now := start
	for i := range 5 {
		now = now.Add(100 * time.Millisecond)
		r.startNext(slowRound+time.Millisecond, now)
		require.Equal(t, i > 0, r.overloaded(now), "period %d", i)
		r.startNext(time.Millisecond, now)
		r.startNext(time.Millisecond, now)
	}
	now = now.Add(overloadMemory)
	r.startNext(slowRound+time.Millisecond, now)
	require.False(t, r.overloaded(now), "the last slow round is too long ago")
}
