package claimant

import "github.com/flamingowind/flamingowind/pkg/wire"

// Directory gives the current configuration and membership. Its methods are called from
// several goroutines and must not block.
type Directory interface {
	// Cells returns the cells of a pool; none when the pool doesn't exist.
	Cells(pool string) []wire.CellID
	// Keeper returns the router that keeps a cell; false when the cell doesn't exist or no
	// keeper is known.
	Keeper(cell wire.CellID) (wire.RouterID, bool)
	// UpstreamURL returns the base URL of an upstream; false when it doesn't exist.
	UpstreamURL(name string) (string, bool)
	// Usable is false for an upstream that is leaving or marked down.
	Usable(name string) bool
}

// Sender sends messages to routers.
type Sender interface {
	// Send adds messages to the next frame for a router, which may be this one. It must
	// not wait for the receiver: the event loops of one process would deadlock. Frames
	// may be lost.
	Send(to wire.RouterID, add func(*wire.Frame))
}
