package edge

import "github.com/flamingowind/flamingowind/pkg/wire"

// Org is an organisation as the edge needs it.
type Org struct {
	Name string
	// MaxQueued bounds its waiting requests at this router; 0 takes resource.DefaultMaxQueued.
	MaxQueued int
	// Disabled organisations are refused.
	Disabled bool
}

// Route says where a model's or a service's calls go.
type Route struct {
	Pool string
	// AtMostOnce lists HTTP methods whose calls may not be repeated.
	AtMostOnce []string
	// CallUnits is the service charged for a call of a plain service.
	CallUnits wire.Units
}

// Catalog is one version of the configuration; it never changes.
type Catalog interface {
	// Authenticate finds the organisation of the API key with this SHA-256 sum.
	Authenticate(keyHash [32]byte) (Org, bool)
	Model(name string) (Route, bool)
	Service(name string) (Route, bool)
	// Models lists the names of models, sorted.
	Models() []string
	// Resumes reports whether an upstream can resume broken streams.
	Resumes(upstream string) bool
}

// Source gives the version in force, nil when there is none yet. A request keeps the
// one it started with.
type Source interface {
	Current() Catalog
}
