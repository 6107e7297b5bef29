package fleet

import "context"

// Registry is the operators' store as a registry in which routers find each other.
type Registry interface {
	// Read returns the fleet's secret, nil while there is none, and the routers on the list,
	// which includes routers that ended without being removed.
	Read(ctx context.Context) (secret []byte, members []Member, err error)
	// Secret returns the fleet's secret; the first caller's proposal becomes it.
	Secret(ctx context.Context, proposal []byte) ([]byte, error)
	// Register puts a member on the list.
	Register(ctx context.Context, m Member) error
	// Era returns how often the store was restored from a copy, as of its newest response; it grows by 1 each time.
	// What was written shortly before is lost then.
	Era() int64
	// Remove removes members from the list.
	Remove(ctx context.Context, members []Member) error
}
