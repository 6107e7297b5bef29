package shedding

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

const (
	// minRetryAfter is the time of a few reports between routers, before which a retry would find
	// the same loads.
	minRetryAfter = 150 * time.Millisecond
	// maxRetryAfter bounds the delay: queues can't be predicted further ahead, as the load changes,
	// and a late retry has no time left.
	maxRetryAfter = time.Second
	// retryJitter is the largest random part that is added, relative to the delay, so that callers
	// that are refused together don't retry together.
	retryJitter = 0.5
)

// RetryAfter returns the delay after which a refused request should be retried: the time in which
// the shortest queue shrinks to the request's limit, as engines do a second's work in a second;
// longer the more of its organisation's requests are shed. random is in [0, 1).
//
// Under overload callers ask for several times what the engines do, and a refused caller retries
// once. With one fixed delay some would find the queue that they were refused for, and others would
// wait while there is room.
func RetryAfter(d placement.Decision, l placement.Limits, random float64) time.Duration {
	excess := max(0, d.ShortestQueue-l.Queue, d.ShortestWait-l.Wait, time.Duration(l.ShedFraction*float64(maxRetryAfter)))
	delay := min(maxRetryAfter, minRetryAfter+excess)
	return delay + time.Duration(retryJitter*random*float64(delay))
}
