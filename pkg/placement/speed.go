package placement

import "time"

// Pace is what is known of the speed of a service's engines.
type Pace struct {
	// TokensPerMs is the number of prompt tokens that an engine prefills in a millisecond while it
	// generates for a usual batch.
	TokensPerMs float64
	// First is the time from the end of the prefill to the first event.
	First time.Duration
	// Slot is the mean time until one of a full engine's slots becomes free.
	Slot time.Duration
	// Call is the duration of a call without a prompt; 0 while it isn't known.
	Call time.Duration
}

// prefillTime is the time that an engine of the usual speed needs to prefill tokens.
func (p Pace) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.TokensPerMs * float64(time.Millisecond))
}
