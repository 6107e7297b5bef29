package order

import (
	"context"

	"github.com/juju/errors"
)

// Errors of an order.
const (
	// ErrOldFence: the engine has accepted a higher fencing number; nothing was done.
	ErrOldFence = errors.ConstError("old fencing number")
	// ErrRejected: the engine understood the order and won't follow it.
	ErrRejected = errors.ConstError("order rejected")
	// ErrLapsed: the lease ran out before the order was sent; nothing was sent.
	ErrLapsed = errors.ConstError("lease lapsed")
	// ErrHeld: another router may still order this engine.
	ErrHeld = errors.ConstError("lease held by another router")
	// ErrStale: a router with a newer configuration has ordered this engine.
	ErrStale = errors.ConstError("configuration older than the engine's last order")
)

// Engine talks to the engine at a base URL.
type Engine interface {
	State(ctx context.Context, url string) (State, error)
	// Send sends c. It asks valid as the last thing before the first byte from which
	// the engine could act, and sends nothing and returns ErrLapsed when it is false.
	// ErrOldFence, ErrRejected and ErrLapsed: nothing was done. Any other error: the
	// order may have been followed, or may still be.
	Send(ctx context.Context, url string, c Command, valid func() bool) error
}
