package placement

import "time"

// Pace is what is known of an engine's speed.
type Pace struct {
	// TokensPerMs is how many prompt tokens an engine reads in a millisecond beside the
	// generating for a usual batch.
	TokensPerMs float64
	// First is the time from the end of reading to the first event.
	First time.Duration
	// Slot is the time after which one of a full engine's slots is free, on the average.
	Slot time.Duration
	// Call is how long a call without a prompt takes; 0 while it isn't known.
	Call time.Duration
}

// reading is how long tokens take.
func (p Pace) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.TokensPerMs * float64(time.Millisecond))
}
