package forward

import (
	"fmt"

	"github.com/juju/errors"
)

// Causes of an Error that are not the upstream's fault.
var (
	// ErrUnwanted is the cause if nobody waits for the response any more.
	ErrUnwanted = errors.New("request no longer wanted")
	// ErrAborted is the cause if the call was canceled.
	ErrAborted = errors.New("call aborted")
)

// ErrNoBuffer is the cause if all requests together hold as much of responses as this router's memory allows.
// That isn't the upstream's fault either.
const ErrNoBuffer = errors.ConstError("no memory left for large responses")

// Errors of event streams whose connections ended without an error.
const (
	ErrPartialEvent = errors.ConstError("the stream ended inside an event")
	ErrNoEvent      = errors.ConstError("the stream's connection was closed before its first event")
)

// MisdirectedError is the cause of an Error if a response doesn't belong to the request.
type MisdirectedError struct {
	// RequestID is the ID that the response carries; empty for none.
	RequestID string
}

// Error returns the ID that the response carries.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("response has request ID %q", e.RequestID)
}

// UnprovenError is the cause of an Error if a successful response doesn't prove that its upstream ran the request.
type UnprovenError struct {
	Status int
	// Header is the name of the header that is missing.
	Header string
}

// Error returns the status and the missing header.
func (e *UnprovenError) Error() string {
	return fmt.Sprintf("response with status %d has no %s", e.Status, e.Header)
}

// Error is the error of a call without a usable response.
type Error struct {
	// Sent says whether any byte of the request may have reached the upstream. The request cannot
	// have run only if it is false.
	Sent bool
	// Stage is the step that failed: connect, send, head or body.
	Stage string
	cause error
}

// Error returns the stage and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
