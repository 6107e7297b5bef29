package fleet

import "time"

// StoreContact is a span of time in which some router was in uninterrupted contact with the
// operators' store.
type StoreContact struct {
	// SinceMs and AgeMs are how long ago the span began and the store last answered, in
	// milliseconds.
	SinceMs int64 `cbor:"1,keyasint,omitempty"`
	AgeMs   int64 `cbor:"2,keyasint,omitempty"`
}

// maxContactMs bounds the accepted age of a contact in milliseconds.
const maxContactMs = 3_600_000

// NewStoreContact describes a span at now; nil when the store has never answered.
func NewStoreContact(since, until, now time.Time) *StoreContact {
	if until.IsZero() {
		return nil
	}
	age := now.Sub(until) + time.Millisecond - 1 // rounded up: the span must not grow
	return &StoreContact{SinceMs: min(now.Sub(since).Milliseconds(), maxContactMs), AgeMs: age.Milliseconds()}
}

// span returns the span by this router's clock, for a report that was created at createdAt or later
// and arrived at received. It is never longer than the sender's: a span that grew by the transit
// time of each message that relays it would hide an outage.
func (s *StoreContact) span(createdAt, received time.Time) (since, until time.Time) {
	return received.Add(-age(s.SinceMs)), createdAt.Add(-age(s.AgeMs))
}

func age(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxContactMs)) * time.Millisecond
}
