package fleet

import "context"

// Registry is the operators' store as the place where routers find each other.
type Registry interface {
	// Read gives the fleet's secret, nil while there is none, and the routers on the list.
	// Routers that ended without a word are still on it.
	Read(ctx context.Context) (secret []byte, members []Member, err error)
	// Secret gives the fleet's secret; the first caller's proposal becomes it.
	Secret(ctx context.Context, proposal []byte) ([]byte, error)
	// Register puts a member on the list.
	Register(ctx context.Context, m Member) error
	// Remove takes members off the list.
	Remove(ctx context.Context, members []Member) error
}
