package gateway

import (
	"context"
	"sync/atomic"

	"github.com/flamingowind/flamingowind/pkg/forward"
)

// waiter is the caller who waits for a request's answer.
type waiter struct {
	left   atomic.Bool
	abort  forward.Abort
	cancel context.CancelFunc
}

// leave ends the request's work.
func (wt *waiter) leave() {
	wt.left.Store(true)
	wt.cancel()
	wt.abort.Now()
}
