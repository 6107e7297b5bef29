package dispatch

import (
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Result says how an attempt ended.
type Result struct {
	Attempt  string
	Upstream string
	Verdict  verdict.Verdict
	Outcome  wire.Outcome
	// Err is nil when the answer is whole.
	Err *verdict.Error
	// Begun says that the sink got part of the answer, so that it can't become an error answer any more.
	Begun bool
	// Status, Header and Body are the answer when it wasn't streamed to the sink.
	Status int
	Header http.Header
	Body   []byte
	// Length is the declared length, also of an answer to HEAD; -1 when none was declared.
	Length int64
	// Tokens is what the engine counted, or the number of events when it didn't say.
	Tokens int
	Cost   wire.Units
	// First is the time to the first event, or of the whole call of a plain service;
	// Step the mean time between events. 0 when not measured.
	First time.Duration
	Step  time.Duration
}
