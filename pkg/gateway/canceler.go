package gateway

import (
	"context"
	"sync/atomic"

	"github.com/flamingowind/flamingowind/pkg/forward"
)

// canceler cancels the work on a request when its caller disconnects.
type canceler struct {
	left atomic.Bool
	// stopped says that the process ends before the request.
	stopped atomic.Bool
	abort   forward.Abort
	cancel  context.CancelFunc
}

// cancelForStop notes that the process ends and cancels the work on the request, which is answered if its
// response has not begun.
func (c *canceler) cancelForStop() {
	c.stopped.Store(true)
	c.cancel()
	c.abort.Trigger()
}

// cancelForCaller notes that the caller has left and cancels the work on the request.
func (c *canceler) cancelForCaller() {
	c.left.Store(true)
	c.cancel()
	c.abort.Trigger()
}
