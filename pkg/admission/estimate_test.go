package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a burst that is shed because the process was stalled before it read any
// connection. The initial grant interval of 1 ms made 150 waiting connections look like a wait of
// 150 ms, and 849 of 1,000 were shed although all could be read within 50 ms. Without a measured
// interval only the elapsed wait counts.
func TestUnmeasuredQueueShedsNobody(t *testing.T) {
	q := newQueue(4)
	for range 16 * minIntervalSamples {
		q.request(q.admit(start), start)
	}
	stalled := start.Add(100 * time.Millisecond)
	require.Equal(t, 100*time.Millisecond, q.estimatedWait(stalled), "no interval has been measured")
}

// Once intervals are measured, the length of the queue counts: a router that reads one connection
// per 10 ms sheds those that would wait too long, even if the oldest hasn't.
func TestMeasuredQueueEstimatesTheWait(t *testing.T) {
	q := newQueue(1)
	var waiters []*waiter
	for range 8 * minIntervalSamples {
		one := q.admit(start)
		q.request(one, start)
		waiters = append(waiters, one)
	}
	now := start
	for _, one := range waiters[:minIntervalSamples] {
		now = now.Add(10 * time.Millisecond)
		q.release(one, now)
	}
	require.Greater(t, q.estimatedWait(now), 2*maxAdmissionWait)
}
