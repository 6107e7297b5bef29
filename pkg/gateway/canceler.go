package gateway

import (
	"context"
	"sync/atomic"

	"github.com/flamingowind/flamingowind/pkg/forward"
)

// canceler cancels the work on a request when its caller disconnects.
type canceler struct {
	left   atomic.Bool
	abort  forward.Abort
	cancel context.CancelFunc
}

// cancelForCaller notes that the caller has left and cancels the work on the request.
func (c *canceler) cancelForCaller() {
	c.left.Store(true)
	c.cancel()
	c.abort.Trigger()
}
