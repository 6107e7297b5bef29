package dispatch

import "time"

// Limits bound what an upstream can make a router buffer or wait for.
type Limits struct {
	MaxAnswer int64         // bytes of a response that isn't streamed
	MaxStream int64         // bytes of a stream
	MaxEvent  int           // bytes of one server-sent event
	Hang      time.Duration // maximum wait for the next event of a stream
	Answer    time.Duration // maximum duration of a call that isn't streamed
	Resumes   int           // maximum attempts to resume a broken stream
	Backoff   time.Duration // pause before the first resumption; it doubles for each further one
	Cancel    time.Duration // timeout of canceling at an engine
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
