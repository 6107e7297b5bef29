// Package backoff paces calls to a service that fails or is busy.
//
// Load pattern: the operators' store turns calls away for some seconds, and each router of a
// large fleet asks again at once. All calls are paid for, also those that are refused, and a
// store that comes back meets all of them together. So a caller's pauses double, up to a bound
// that grows with the number of callers: the whole fleet's calls stay about as many as those of
// a few routers, and a small fleet notices the return at once.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// First is the pause after the first failure, which may have been a single lost packet.
	First = 200 * time.Millisecond
	// longest bounds the pauses of fleets up to largeFleet, so that a router that nobody tells
	// of the store's return comes back to it within this time; in larger ones it grows with
	// them up to longestOfAll.
	longest      = 3 * time.Second
	largeFleet   = 80
	longestOfAll = time.Minute
	// quickCallers is how many callers may ask again without their pauses growing.
	quickCallers = 8
	// spread is the part of a pause that is left to chance, so that callers who failed together
	// don't come back together.
	spread = 0.3
)

// Backoff counts failures in a row. The zero value is ready.
type Backoff struct {
	pause time.Duration
}

// Succeeded makes the next failure the first.
func (b *Backoff) Succeeded() { b.pause = 0 }

// Failed gives the pause before the next call, when that many callers share the service.
func (b *Backoff) Failed(callers int) time.Duration {
	b.pause = min(max(First, 2*b.pause), Longest(callers))
	return time.Duration(float64(b.pause) * (1 - spread*rand.Float64()))
}

// Longest is the longest pause among that many callers.
func Longest(callers int) time.Duration {
	if callers <= quickCallers {
		return First
	}
	if callers > largeFleet {
		return min(longestOfAll, longest*time.Duration(callers)/largeFleet)
	}
	return min(longest, First*time.Duration(callers)/quickCallers*2)
}
