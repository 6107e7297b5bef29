package placement

import "time"

// Speed is what is known of the speed of a service's engines.
type Speed struct {
	// TokensPerMs is the number of prompt tokens that an engine prefills in a millisecond while it
	// generates for a usual batch.
	TokensPerMs float64
	// FirstEvent is the time from the end of the prefill to the first event.
	FirstEvent time.Duration
	// SlotTurn is the mean time until one of a full engine's slots becomes free.
	SlotTurn time.Duration
	// CallTime is the duration of a call without a prompt; 0 while it isn't known.
	CallTime time.Duration
}

// prefillTime is the time that an engine of the usual speed needs to prefill tokens.
func (s Speed) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.TokensPerMs * float64(time.Millisecond))
}
