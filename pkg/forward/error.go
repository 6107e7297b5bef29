package forward

import (
	"fmt"

	"github.com/juju/errors"
)

// Causes of an Error that lie with the call itself.
var (
	// ErrUnwanted is for a call whose answer nobody waits for any more.
	ErrUnwanted = errors.New("no longer wanted")
	// ErrAborted is for a call that its Abort has ended.
	ErrAborted = errors.New("aborted")
)

// Faults of streams that ended in order.
const (
	ErrInsideEvent = errors.ConstError("the stream ended inside an event")
	ErrNoEvent     = errors.ConstError("the stream's connection was closed before its first event")
)

// Error ends an attempt without a usable answer.
type Error struct {
	// Sent is whether any byte of the request may have reached the upstream. Only when
	// it is false can the request not have run.
	Sent bool
	// Stage is what was being done: connect, send, head, body.
	Stage string
	cause error
}

// Error gives stage and cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.cause) }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.cause }
