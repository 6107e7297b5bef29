package gatewayd

import (
	"net/http"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// Faces holds constructors of the handlers whose format depends on the deployment.
type Faces struct {
	Entries   func(current func(zone string) []string, keepSeconds func() float64) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Deployment holds what a deployment's adapter provides.
type Deployment struct {
	Store    catalog.Store
	Registry fleet.Registry
	Dialect  gateway.Dialect
	Faces    Faces
	// Readdress changes the address of the operators' store that Store and Registry use.
	Readdress func(addr string)
	// Refusals keeps refusals over a restart of all routers; nil for none.
	Refusals RefusalStore
	// Versions keeps the software versions that served over a restart of all routers; nil for none.
	Versions VersionStore
	// Streams keeps the software versions at which streams began over a restart of all routers; nil for none.
	Streams StreamStore
	// RowFaults returns how often rows of the store, other than the list of upstreams, became
	// unusable; nil for none.
	RowFaults func() int64
	// StoreCalls returns the number of calls to the store by kind; nil for none.
	StoreCalls func() map[string]int64
	// StoreTraffic returns the traffic on connections to the store; nil where it isn't counted.
	StoreTraffic func() traffic.Bytes
	// LinesDropped returns the number of log lines dropped because of a slow reader; nil for none.
	LinesDropped func() int64
}
