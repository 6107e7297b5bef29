package verdict

import (
	"time"

	"github.com/juju/errors"
)

// Code is the kind of an error, as named in error bodies, logs and metrics.
type Code string

// Codes of errors that callers can get. docs/operators/callers.md explains each.
const (
	CodeBadRequest     Code = "bad_request"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not_found"
	CodeTooLarge       Code = "too_large"
	CodeOverloaded     Code = "overloaded"      // the organisation's queue limit is reached
	CodeDeadline       Code = "deadline"        // the request can't be granted within its deadline
	CodeNoUpstream     Code = "no_upstream"     // the pool has no usable upstream
	CodeDraining       Code = "draining"        // this router is draining
	CodeStale          Code = "stale"           // this router can't confirm that its configuration is current
	CodeUpstreamFailed Code = "upstream_failed" // the upstream broke off or sent a malformed response
	CodeQuarantined    Code = "quarantined"     // the content has crashed upstreams
	// CodePartQuarantined: a part of the prompt has crashed upstreams.
	CodePartQuarantined Code = "part_quarantined"
	CodeDuplicate       Code = "duplicate"  // the idempotency key was used before
	CodeTableDown       Code = "table_down" // the idempotency key can't be recorded
	// CodeUpstreamsLeaving: all upstreams of the service have announced that they leave.
	CodeUpstreamsLeaving Code = "upstreams_leaving"
	// CodeUpstreamsBackoff: all upstreams of the service want no requests for a time.
	CodeUpstreamsBackoff Code = "upstreams_backoff"
	CodeStreamUnknown    Code = "stream_unknown" // it is not known which software version began the stream
	CodeStreamGone       Code = "stream_gone"    // nothing is left that can go on with the stream
	CodeCanceled         Code = "canceled"       // the caller left
	CodeInternal         Code = "internal"
)

// Error is an error that ends a request. It is the only error type whose message is shown to
// callers.
type Error struct {
	Verdict Verdict
	Code    Code
	// Status is the HTTP status of the response.
	Status int
	// Message is shown to the caller. It must not contain secrets or data of other organisations.
	Message string
	// RetryAfter is the time after which a retry makes sense; 0 means that no retry helps.
	RetryAfter time.Duration
	// Entries are the addresses of other routers to try, the best first.
	Entries []string

	cause error
}

// New returns an Error without a cause.
func New(v Verdict, status int, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Status: status, Message: message}
}

// Wrap returns an Error with a cause, which appears in logs and which errors.Is finds.
func Wrap(cause error, v Verdict, status int, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Status: status, Message: message, cause: cause}
}

// Error returns the code, the verdict, the message and the cause.
func (e *Error) Error() string {
	s := string(e.Code) + " (" + e.Verdict.String() + "): " + e.Message
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// From returns the Error in err's chain. An error without one becomes an internal error with the
// verdict MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, 500, CodeInternal, "internal error")
}
