package platform

import "context"

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// HostState is what the host list says of a host.
type HostState string

// States in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostKind tells entry hosts from upstreams.
type HostKind string

// Kinds of hosts.
const (
	HostEntry    HostKind = "entry"
	HostUpstream HostKind = "upstream"
)

// Host is one line of the host list.
type Host struct {
	Name  string    `json:"name"` // router ID or upstream name
	Kind  HostKind  `json:"kind"`
	Zone  string    `json:"zone,omitempty"`
	Addr  string    `json:"addr"` // peer address of a router, base URL of an upstream
	State HostState `json:"state"`
}

// HostList is a whole list. Generation grows with each change.
type HostList struct {
	Generation uint64 `json:"generation"`
	Hosts      []Host `json:"hosts"`
}

// Hosts is the lagging list of live and leaving hosts.
type Hosts interface {
	Hosts(ctx context.Context) (HostList, error)
}

// Weights is the rate-limited weight store. Open asks for leave to load a weight
// file; ErrRefused means that the rate limit is reached.
type Weights interface {
	Open(ctx context.Context, name string) error
}
