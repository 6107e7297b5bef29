package claimant

import "github.com/flamingowind/flamingowind/pkg/wire"

// Directory tells what the configuration and the membership say now. Its methods are
// called from several goroutines and must return at once.
type Directory interface {
	// Cells names the cells of a pool; none when the pool doesn't exist.
	Cells(pool string) []wire.CellID
	// Keeper is the router that keeps a cell; false when the cell doesn't exist or
	// no keeper is known.
	Keeper(cell wire.CellID) (wire.RouterID, bool)
	// UpstreamURL is the base URL of an upstream; false when it doesn't exist.
	UpstreamURL(name string) (string, bool)
	// Usable is false for an upstream that leaves or is marked down.
	Usable(name string) bool
}

// Sender passes messages to routers.
type Sender interface {
	// Send adds messages to the next frame for a router, which may be this one. It
	// must not wait for the receiver: the duties of one process would wait for each
	// other for ever. Frames may be lost.
	Send(to wire.RouterID, add func(*wire.Frame))
}
