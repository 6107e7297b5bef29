// Package patience bounds calls by the time in which nothing comes. A bound on the whole call would
// let large answers never come over slow links.
package patience

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// ErrSilent says that nothing came in time.
const ErrSilent = errors.ConstError("nothing came in time")

// longest bounds the time in which the rest of an answer may come.
const longest = 15 * time.Second

type key struct{}

// Call is a call with bounded silence.
type Call struct {
	cancel  context.CancelCauseFunc
	silence time.Duration
	timer   *time.Timer
	rest    *time.Timer
	came    atomic.Bool
}

// With gives the context of a call that ends when nothing comes for silence.
func With(ctx context.Context, silence time.Duration) (context.Context, *Call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &Call{cancel: cancel, silence: silence}
	c.timer = time.AfterFunc(silence, func() { cancel(ErrSilent) })
	c.rest = time.AfterFunc(silence+longest, func() { cancel(ErrSilent) })
	return context.WithValue(ctx, key{}, c), c
}

// Progress notes that bytes have come for the call of ctx, if it has a bounded silence.
func Progress(ctx context.Context) {
	c, ok := ctx.Value(key{}).(*Call)
	if !ok {
		return
	}
	c.came.Store(true)
	if c.timer.Stop() {
		c.timer.Reset(c.silence)
	}
}

// End ends the call.
func (c *Call) End() { c.end(context.Canceled) }

// Doubt ends the call unless bytes have come for it.
func (c *Call) Doubt() {
	if !c.came.Load() {
		c.end(context.Canceled)
	}
}

func (c *Call) end(cause error) {
	c.timer.Stop()
	c.rest.Stop()
	c.cancel(cause)
}
