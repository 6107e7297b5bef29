package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func isGranted(w *waiter) bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

func TestSlotsGoToTheOldestRequest(t *testing.T) {
	q := newQueue(1)
	a, b, c := q.admit(start), q.admit(start), q.admit(start)
	q.request(c, start)
	require.True(t, isGranted(c), "no older waiter has requested a slot")
	q.request(b, start)
	q.request(a, start)
	require.False(t, isGranted(a))
	q.release(c, start)
	require.True(t, isGranted(a))
	require.False(t, isGranted(b))
	q.release(a, start)
	require.True(t, isGranted(b))
}

// With a connection read every 10 ms, the estimated wait behind 30 others is about 300 ms.
func TestEstimatedWaitFollowsTheGrantInterval(t *testing.T) {
	require.Zero(t, newQueue(1).estimatedWait(start))
	q := newQueue(1)
	now := start
	var waiters []*waiter
	for range 131 {
		one := q.admit(now)
		q.request(one, now)
		waiters = append(waiters, one)
	}
	for _, one := range waiters[:100] {
		require.True(t, isGranted(one))
		now = now.Add(10 * time.Millisecond)
		for _, later := range waiters {
			later.admittedAt = now // as if just admitted, so that only the intervals count
		}
		q.release(one, now)
	}
	require.Zero(t, q.estimatedWait(now), "a recent burst may be read at once")
	require.InDelta(t, 300*time.Millisecond, q.estimatedWait(now.Add(burstTolerance)), float64(5*time.Millisecond))
}

// Guards against an estimate that shrinks while connections are shed: those that waited too long
// are shed in no time when they get their slot, and counting them would admit still more
// connections that wait too long.
func TestShedConnectionsDoNotShortenTheGrantInterval(t *testing.T) {
	q := newQueue(1)
	var waiters []*waiter
	for range 100 {
		one := q.admit(start)
		q.request(one, start)
		waiters = append(waiters, one)
	}
	late := start.Add(maxReadWait + time.Millisecond)
	for _, one := range waiters[:60] {
		q.release(one, late)
	}
	require.GreaterOrEqual(t, q.grantInterval, initialGrantInterval/2)
}

// For any order of admission, request, release and disconnect, the slots in use never exceed their
// number, no waiter waits while a slot is free, and no slot is lost in the end.
func TestSlotsAreNeitherLostNorDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := newQueue(slots)
		now := start
		var waiters []*waiter
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			if len(waiters) == 0 || rapid.Bool().Draw(t, "admit") {
				waiters = append(waiters, q.admit(now))
				continue
			}
			one := rapid.SampledFrom(waiters).Draw(t, "waiter")
			if rapid.Bool().Draw(t, "enter") {
				q.request(one, now)
			} else {
				q.release(one, now)
			}
			checkSlots(t, q, waiters)
		}
		for _, one := range waiters {
			q.release(one, now)
		}
		require.Zero(t, q.slotsInUse)
		require.Zero(t, q.waiting.Len())
	})
}

func checkSlots(t *rapid.T, q *queue, waiters []*waiter) {
	held, waiting := 0, 0
	for _, w := range waiters {
		if w.holdsSlot {
			held++
		}
		if w.element != nil && w.requested {
			waiting++
		}
	}
	require.Equal(t, held, q.slotsInUse)
	require.LessOrEqual(t, held, q.slots)
	if waiting > 0 {
		require.Equal(t, q.slots, held, "a slot is free while a waiter waits")
	}
}
