package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// refuserUnderQuota returns a refuser whose process has been getting 10 ms of CPU time per tenth of
// a second. used is its CPU clock, now the time.
func refuserUnderQuota() (r *refuser, used *time.Duration, now time.Time) {
	const timeSlice, periods = 10 * time.Millisecond, 20
	used = new(time.Duration)
	clock := func() time.Duration { return *used }
	r = &refuser{budget: newRefusalBudget(0), processCPU: clock, threadCPU: clock,
		refusal: func(time.Time) []byte { return []byte(refusal) }}
	now = start
	for range periods {
		r.observeCPU(now)
		*used += timeSlice
		now = now.Add(quotaPeriod)
	}
	r.observeCPU(now)
	return r, used, now
}

// Guards against a router that, after a stall, refuses everything that arrived meanwhile and serves
// nobody for a second.
func TestStallIsNotFollowedByLongRefusals(t *testing.T) {
	const cost, timeSlice = 60 * time.Microsecond, 10 * time.Millisecond
	r, used, now := refuserUnderQuota()
	now = now.Add(700 * time.Millisecond)
	r.observeCPU(now)
	began, batch, refused := *used, r.startBatch(), 0
	for range 1000 {
		fd := socketWithBytes(t, postRequest)
		if batch.refuse(newRefusedConn(fd)) {
			*used += cost
			refused++
		} else {
			require.NoError(t, unix.Close(fd))
		}
	}
	batch.end()
	require.Greater(t, refused, 10)
	require.LessOrEqual(t, *used-began, 2*timeSlice, "CPU time of %d refusals", refused)
}

// socketWithBytes returns a socket on which text has arrived.
func socketWithBytes(t *testing.T, text string) int {
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	require.NoError(t, err)
	_, err = unix.Write(ends[1], []byte(text))
	require.NoError(t, err)
	t.Cleanup(func() { unix.Close(ends[1]) })
	return ends[0]
}

// newRefusedConn returns a connection to be refused.
func newRefusedConn(fd int) refusedConn { return refusedConn{fd: fd, acceptedAt: start} }

// Guards against unlimited refusals by an overloaded router that is idle for a moment in each of
// its time slices.
func TestIdleMomentAfterRefusalsDoesNotRefillTheBudget(t *testing.T) {
	const cost = 20 * time.Microsecond
	r, used, now := refuserUnderQuota()
	refuseMany(t, r, 1000, used, cost)
	spent := r.budget.available(r.cpuTime)
	r.lastRefusal = now
	r.refill(now.Add(refillDelay - 1))
	require.Equal(t, spent, r.budget.available(r.cpuTime))
	r.refill(now.Add(refillDelay))
	require.Greater(t, r.budget.available(r.cpuTime), spent)
}

// Guards against refusals that count as part of a round: they make it slow, so that all waiting
// connections are shed, which makes the next one slow.
func TestRefusalTimeIsNotPartOfARound(t *testing.T) {
	l := newTestListener(t, 0)
	defer l.Close()
	clock := &manualClock{at: start}
	l.now = clock.now
	l.refuser.refusal = func(time.Time) []byte {
		clock.advance(slowRound + time.Millisecond) // the process is throttled during the refusals
		return []byte(refusal)
	}
	for range 2 {
		l.rounds.startNext(slowRound+time.Millisecond, start)
	}
	sendTo(t, l, postRequest)
	for !l.rounds.full() {
		l.rounds.countAdmitted()
	}
	l.endRound()
	refused, _ := l.ShedCounts()
	require.EqualValues(t, 1, refused)
	require.LessOrEqual(t, l.rounds.took, slowRound)
}
