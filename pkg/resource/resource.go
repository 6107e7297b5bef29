// Package resource holds the declared resources and the snapshot made of them.
//
// Operators declare organisations, pools, upstreams and routes. A Snapshot is the
// whole of them at one version; routers adopt snapshots whole and upwards only.
package resource

// Kind names a kind of resource.
type Kind string

// Kinds of resources.
const (
	KindOrganisation Kind = "Organisation"
	KindPool         Kind = "Pool"
	KindUpstream     Kind = "Upstream"
	KindRoute        Kind = "Route"
	KindOrder        Kind = "Order"
)

// Meta is common to all resources.
type Meta struct {
	Name string `json:"name" yaml:"name"`
	// Version is the configuration version that last changed the resource; 0 when new.
	Version uint64 `json:"version,omitempty" yaml:"version,omitempty"`
}

// Organisation shares capacity with the others by Weight.
type Organisation struct {
	Meta `yaml:",inline"`
	// Weight is the organisation's share against the others; 1 when left out.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	// KeyHashes are SHA-256 sums (hex) of the organisation's API keys.
	KeyHashes []string `json:"keyHashes,omitempty" yaml:"keyHashes,omitempty"`
	// MaxQueued bounds waiting requests at one router; 0 takes the default.
	MaxQueued int `json:"maxQueued,omitempty" yaml:"maxQueued,omitempty"`
	// Disabled organisations are refused.
	Disabled bool `json:"disabled,omitempty" yaml:"disabled,omitempty"`
}

// PoolKind tells model pools from plain services.
type PoolKind string

// Kinds of pools.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Pool is a set of upstreams that can stand in for each other.
type Pool struct {
	Meta `yaml:",inline"`
	// It is written poolKind, because kind names the kind of the resource.
	Kind PoolKind `json:"poolKind" yaml:"poolKind"`
	// CellSize is the most upstreams one keeper orders; 0 takes DefaultCellSize.
	CellSize int `json:"cellSize,omitempty" yaml:"cellSize,omitempty"`
	// CallUnits is the service charged for one call of a plain service, in tokens; 0 takes DefaultCallUnits.
	CallUnits float64 `json:"callUnits,omitempty" yaml:"callUnits,omitempty"`
	// NeverIdle gives every free slot to whoever waits. Otherwise a few are kept free from
	// an organisation far over its share, so that the others' requests start at once.
	NeverIdle bool `json:"neverIdle,omitempty" yaml:"neverIdle,omitempty"`
	// GrantAhead is how many requests may wait inside each upstream, so that a slot which
	// ends there is taken at once. First tokens come later by that queue. Upstreams with an
	// adaptive limit keep none.
	GrantAhead int `json:"grantAhead,omitempty" yaml:"grantAhead,omitempty"`
}

// Upstream is one model engine or one instance of a plain service.
type Upstream struct {
	Meta `yaml:",inline"`
	Pool string `json:"pool" yaml:"pool"`
	// URL is the base URL, by IP number: "http://127.0.0.1:9000".
	URL  string `json:"url" yaml:"url"`
	Zone string `json:"zone,omitempty" yaml:"zone,omitempty"`
	// Slots is the number of requests it runs at once when nothing was measured yet; 0 takes DefaultSlots.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// MaxSlots bounds the adaptive limit; 0 fixes the limit at Slots.
	MaxSlots int `json:"maxSlots,omitempty" yaml:"maxSlots,omitempty"`
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty" yaml:"checksFence,omitempty"`
	// Resumes says that the engine can resume a broken stream.
	Resumes bool `json:"resumes,omitempty" yaml:"resumes,omitempty"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// Route sends a model name, or a service name, to a pool.
type Route struct {
	Meta `yaml:",inline"`
	// Exactly one of Model and Service is set.
	Model   string `json:"model,omitempty" yaml:"model,omitempty"`
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	Pool    string `json:"pool" yaml:"pool"`
	// AtMostOnce lists HTTP methods whose calls may not be repeated: they need an
	// Idempotency-Key, which is recorded before dispatch.
	AtMostOnce []string `json:"atMostOnce,omitempty" yaml:"atMostOnce,omitempty"`
}

// Order is the declared state of one engine: what it has loaded and its role.
type Order struct {
	Meta     `yaml:",inline"`
	Upstream string `json:"upstream" yaml:"upstream"`
	Model    string `json:"model,omitempty" yaml:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	Revision string `json:"revision,omitempty" yaml:"revision,omitempty"`
	Role     string `json:"role,omitempty" yaml:"role,omitempty"`
}

// Defaults for fields left out.
const (
	DefaultCellSize  = 32
	DefaultSlots     = 8
	DefaultCallUnits = 16
	DefaultMaxQueued = 256
	DefaultWeight    = 1
)

// Snapshot is the whole configuration at one version. It is never changed after
// it was made: holders share it without locks.
type Snapshot struct {
	Version       uint64         `json:"version"`
	Organisations []Organisation `json:"organisations,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	Upstreams     []Upstream     `json:"upstreams,omitempty"`
	Routes        []Route        `json:"routes,omitempty"`
	Orders        []Order        `json:"orders,omitempty"`
}
