package dispatch

import "time"

// Limits bound what an upstream can make a router buffer or wait for.
type Limits struct {
	MaxResponse     int64         // bytes of a response that isn't streamed
	MaxResponses    int64         // memory of all responses held at once, in bytes
	MaxStream       int64         // bytes of a stream
	MaxEvent        int           // bytes of one server-sent event
	EventTimeout    time.Duration // maximum wait for the next event of a stream
	ResponseTimeout time.Duration // maximum duration of a call that isn't streamed
	MaxResumes      int           // maximum attempts to resume a broken stream
	ResumeBackoff   time.Duration // pause before the first resumption; it doubles for each further one
	CancelTimeout   time.Duration // timeout of canceling at an engine
}

// DefaultLimits fit model engines and plain services of ordinary size.
func DefaultLimits() Limits {
	return Limits{
		MaxResponse:     4 << 20,
		MaxResponses:    16 << 20,
		MaxStream:       64 << 20,
		MaxEvent:        256 << 10,
		EventTimeout:    20 * time.Second,
		ResponseTimeout: 5 * time.Minute,
		MaxResumes:      4,
		ResumeBackoff:   25 * time.Millisecond,
		CancelTimeout:   2 * time.Second,
	}
}
