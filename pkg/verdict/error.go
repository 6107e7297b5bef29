package verdict

import (
	"time"

	"github.com/juju/errors"
)

// Code names the kind of a failure in error bodies, logs and metrics.
type Code string

// Codes that callers can meet. docs/operators/callers.md explains each.
const (
	CodeBadRequest     Code = "bad_request"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not_found"
	CodeTooLarge       Code = "too_large"
	CodeOverloaded     Code = "overloaded"      // the organisation's queue bound is reached
	CodeDeadline       Code = "deadline"        // can't be granted within its deadline
	CodeNoUpstream     Code = "no_upstream"     // the pool has no usable upstream
	CodeDraining       Code = "draining"        // this router is leaving
	CodeStale          Code = "stale"           // this router can't confirm its configuration
	CodeUpstreamFailed Code = "upstream_failed" // the upstream broke off or answered garbage
	CodeQuarantined    Code = "quarantined"     // the content crashed upstreams before
	CodeDuplicate      Code = "duplicate"       // the idempotency key has been used
	CodeTableDown      Code = "table_down"      // the idempotency key can't be recorded
	CodeCanceled       Code = "canceled"        // the caller went away
	CodeInternal       Code = "internal"
)

// Error ends a request. It is the only error type shown to callers.
type Error struct {
	Verdict Verdict
	Code    Code
	// Status is the HTTP status of the answer.
	Status int
	// Message is shown to the caller; it holds no secret and no other organisation's data.
	Message string
	// RetryAfter is the time after which a new try is worth it; 0 when no try helps.
	RetryAfter time.Duration
	// Entries are other addresses worth trying, the best first.
	Entries []string

	cause error
}

// New returns an Error without a cause.
func New(v Verdict, status int, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Status: status, Message: message}
}

// Wrap returns an Error that keeps cause for logs and errors.Is.
func Wrap(cause error, v Verdict, status int, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Status: status, Message: message, cause: cause}
}

// Error gives the code, the verdict, the message and the cause.
func (e *Error) Error() string {
	s := string(e.Code) + " (" + e.Verdict.String() + "): " + e.Message
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, nil when there is none.
func (e *Error) Unwrap() error { return e.cause }

// After sets RetryAfter and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// From finds the Error in err's chain. An error without one is internal and MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, 500, CodeInternal, "internal error")
}
