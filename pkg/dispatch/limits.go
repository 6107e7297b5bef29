package dispatch

import "time"

// Limits bound what an upstream can make a router hold or wait for.
type Limits struct {
	MaxAnswer int64         // bytes of an answer that isn't streamed
	MaxStream int64         // bytes of a streamed answer
	MaxEvent  int           // bytes of one server-sent event
	Hang      time.Duration // longest time without an event of a stream
	Answer    time.Duration // longest run of a call that isn't streamed
	Resumes   int           // tries to resume one broken stream before giving up
	Backoff   time.Duration // pause before the first resume; doubles with each further one
	Cancel    time.Duration // longest time spent on cancelling at an engine
}

// DefaultLimits fit model engines and plain services of ordinary size.
func DefaultLimits() Limits {
	return Limits{
		MaxAnswer: 4 << 20,
		MaxStream: 64 << 20,
		MaxEvent:  256 << 10,
		Hang:      20 * time.Second,
		Answer:    5 * time.Minute,
		Resumes:   4,
		Backoff:   25 * time.Millisecond,
		Cancel:    2 * time.Second,
	}
}
