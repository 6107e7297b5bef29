package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// ErrHistoryGone means that the store no longer has the changes after a revision, or is in another era: the reader
// must read the complete state.
const ErrHistoryGone = errors.ConstError("history is gone")

// Stamp is the state of the store that a response describes.
type Stamp struct {
	Revision Revision
	// Clock is the store's monotonic clock when it responded; 0 if the store does not report it.
	Clock time.Duration
}

// Store is the part of the operators' store that a gateway reads. All calls end with ctx, and
// report to package patience as their responses arrive.
type Store interface {
	// Declared reads the newest configuration, nil before the first, and all evacuated zones.
	Declared(ctx context.Context) (Declared, Revision, error)
	// DeclaredAfter waits up to wait for declarations after a revision.
	DeclaredAfter(ctx context.Context, after Revision, wait time.Duration) (Declared, Revision, error)
	// Instances reads the whole list of upstream instances.
	Instances(ctx context.Context) ([]upstream.Instance, Stamp, error)
	// InstancesAfter returns the changes after a revision, waiting up to wait for the first.
	InstancesAfter(ctx context.Context, after Revision, wait time.Duration) ([]upstream.Change, Stamp, error)
}
