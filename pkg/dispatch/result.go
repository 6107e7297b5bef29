package dispatch

import (
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Result is the outcome of an attempt.
type Result struct {
	Attempt  string
	Upstream string
	Verdict  verdict.Verdict
	Outcome  wire.Outcome
	// Err is nil if the response is complete.
	Err *verdict.Error
	// ResponseStarted says that part of the response was written to the sink, so that an error
	// response can't replace it.
	ResponseStarted bool
	// Status, Header and Body are the response if it wasn't streamed to the sink.
	Status int
	Header http.Header
	Body   []byte
	// Length is the declared length, also of a response to HEAD; -1 if none was declared.
	Length int64
	// Tokens is the engine's own count, or the number of events if it reported none.
	Tokens int
	Cost   wire.Units
	// TimeToFirst is the time to the first event, or the duration of a plain service's call; 0 if not
	// measured.
	TimeToFirst time.Duration
	// EventInterval is the mean time between events; 0 if not measured.
	EventInterval time.Duration
	// lease holds the memory of Body.
	lease buffers.Lease
}

// Release gives back the memory that is held for Body, which nobody uses any more.
func (r *Result) Release() { r.lease.Release() }
