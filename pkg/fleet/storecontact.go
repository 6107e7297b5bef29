package fleet

import "time"

// StoreContact is a span of time in which some router heard the operators' store without a break.
type StoreContact struct {
	// SinceMs and AgeMs are how long ago it began and last answered, in milliseconds.
	SinceMs int64 `cbor:"1,keyasint,omitempty"`
	AgeMs   int64 `cbor:"2,keyasint,omitempty"`
}

// maxContactMs bounds what is believed of the age of a contact, in milliseconds.
const maxContactMs = 3_600_000

// NewStoreContact tells of a span at now; nil when nothing was ever heard.
func NewStoreContact(since, until, now time.Time) *StoreContact {
	if until.IsZero() {
		return nil
	}
	age := now.Sub(until) + time.Millisecond - 1 // rounded up: the span must not grow
	return &StoreContact{SinceMs: min(now.Sub(since).Milliseconds(), maxContactMs), AgeMs: age.Milliseconds()}
}

// span gives the span by this router's clock, of a report that was made at made or later and was
// received at received. It is never longer than the sender's.
//
// Guard: told on and on, a span that grew by the time of each message would hide an outage.
func (s *StoreContact) span(made, received time.Time) (since, until time.Time) {
	return received.Add(-age(s.SinceMs)), made.Add(-age(s.AgeMs))
}

func age(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxContactMs)) * time.Millisecond
}
