package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// Guards against a retry that finds the same queue: a burst fills the shortest queue to 900 ms, and
// callers that may wait for 400 ms are refused. If they retried after a quarter of a second, they
// would find 650 ms and be refused for good, as they retry once.
func TestCallersRetryWhenTheQueueIsShortEnough(t *testing.T) {
	const queue, limit = 900 * time.Millisecond, 400 * time.Millisecond
	limits := placement.Limits{Queue: limit, Wait: time.Second}
	for i := range 100 {
		delay := RetryAfter(placement.Decision{ShortestQueue: queue, ShortestWait: queue}, limits, float64(i)/100)
		require.LessOrEqual(t, queue-delay, limit, "the rest of the queue by then")
		require.Less(t, delay, time.Second, "the delay isn't longer than necessary")
	}
}

// Where the queue is no reason for the refusal, as for over-share requests beyond the part that is
// admitted, the next reports tell whether there is room again.
func TestWithoutAQueueCallersRetrySoon(t *testing.T) {
	limits := placement.Limits{Queue: 100 * time.Millisecond, Wait: time.Second}
	require.Equal(t, minRetryAfter, RetryAfter(placement.Decision{ShortestQueue: 50 * time.Millisecond}, limits, 0))
}

func TestRetryAfterIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
		}
		v := placement.Decision{ShortestQueue: draw("queue"), ShortestWait: draw("soonest")}
		delay := RetryAfter(v, placement.Limits{Queue: draw("queue limit"), Wait: draw("limit")}, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
		require.GreaterOrEqual(t, delay, minRetryAfter)
		require.Less(t, delay, maxRetryAfter*3/2)
	})
}

// Guards against retries that are refused again: nearly all requests of an organisation far ahead
// of others are shed, so the next reports change nothing for them.
func TestShedRequestsRetryLater(t *testing.T) {
	limits := placement.Limits{Queue: time.Second, Wait: time.Second, ShedFraction: 0.9}
	require.GreaterOrEqual(t, RetryAfter(placement.Decision{}, limits, 0), 6*minRetryAfter)
}
