package edge

import (
	"context"
	"strconv"
)

// Guard lets a call that may not be repeated run at most once.
type Guard interface {
	// Begin records key before anything is sent. Its error is a *Replay when the call has
	// finished before, else a *verdict.Error.
	Begin(ctx context.Context, org, key string, content uint64) (Ticket, error)
}

// Ticket takes how a recorded call ended; exactly one method is called, once.
type Ticket interface {
	Ran(status int, body []byte)
	MayHaveRun()
	NotRun()
}

// Replay is the recorded answer of a call that ran before.
type Replay struct {
	Status int
	Body   []byte
}

// Error names the recorded status.
func (r *Replay) Error() string {
	return "the call ran before and answered " + strconv.Itoa(r.Status)
}
