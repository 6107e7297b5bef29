// Package backoff paces calls to a service that fails or is overloaded.
//
// When the operators' store refuses calls for some seconds, each router of a large fleet would
// otherwise retry at once. Every call is paid for, refused ones included, and a store that recovers
// would receive all retries together. Pauses therefore double up to a bound that grows with the
// number of callers: a large fleet makes about as many calls as a few routers do, and a small fleet
// notices the recovery at once.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// InitialPause is the pause after the first failure, which may have been a single lost packet.
	InitialPause = 200 * time.Millisecond
	// baseMaxPause bounds the pauses in fleets of up to largeFleet callers, so that a router that
	// no other router informs of the store's recovery notices it within this time. In larger fleets
	// the bound grows with the number of callers up to largeFleetMaxPause.
	baseMaxPause       = 3 * time.Second
	largeFleet         = 80
	largeFleetMaxPause = time.Minute
	// smallFleet is the largest number of callers whose pauses do not grow.
	smallFleet = 8
	// jitter is the random part of a pause, so that callers that failed together do not retry
	// together.
	jitter = 0.3
)

// Backoff computes the pauses between failed calls. The zero value is ready to use.
type Backoff struct {
	pause time.Duration
}

// Succeeded resets the pause.
func (b *Backoff) Succeeded() { b.pause = 0 }

// Failed returns the pause before the next call when the given number of callers share the service.
func (b *Backoff) Failed(callers int) time.Duration {
	b.pause = min(max(InitialPause, 2*b.pause), MaxPause(callers))
	return time.Duration(float64(b.pause) * (1 - jitter*rand.Float64()))
}

// MaxPause returns the longest pause for a number of callers.
func MaxPause(callers int) time.Duration {
	if callers <= smallFleet {
		return InitialPause
	}
	if callers > largeFleet {
		return min(largeFleetMaxPause, baseMaxPause*time.Duration(callers)/largeFleet)
	}
	return min(baseMaxPause, InitialPause*time.Duration(callers)/smallFleet*2)
}
