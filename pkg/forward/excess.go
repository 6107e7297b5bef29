package forward

import "fmt"

// Bound is a bound on what an upstream may send.
type Bound string

// Bounds on responses, as metrics and logs name them.
const (
	// BoundHeadBytes and BoundHeadLines are the size of a head, with the interim (1xx) responses before it.
	BoundHeadBytes Bound = "head_bytes"
	BoundHeadLines Bound = "head_lines"
	// BoundInterim is the number of interim responses before one response.
	BoundInterim Bound = "interim_responses"
	// BoundStrayBody is the size of a response to another request, BoundStray the number of them.
	BoundStrayBody Bound = "stray_body"
	BoundStray     Bound = "stray_responses"
	// BoundEvent is the size of an event.
	BoundEvent Bound = "event_bytes"
)

// boundTexts are the errors' texts; each has a place for the limit.
var boundTexts = map[Bound]string{
	BoundHeadBytes: "response head exceeds %d bytes",
	BoundHeadLines: "response head exceeds %d lines",
	BoundInterim:   "more than %d interim responses",
	BoundStrayBody: "response to another request exceeds %d bytes",
	BoundStray:     "more than %d responses to other requests",
	BoundEvent:     "event exceeds %d bytes",
}

// ExcessError is the cause of an Error if the upstream sent more than a bound allows.
type ExcessError struct {
	Bound Bound
	Limit int64
}

// Error returns what was exceeded, and the limit.
func (e *ExcessError) Error() string { return fmt.Sprintf(boundTexts[e.Bound], e.Limit) }
