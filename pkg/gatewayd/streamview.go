package gatewayd

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/gateway"
)

// streamView is what the software versions of streams are judged by.
type streamView struct {
	catalog *catalog.Catalog
	fleet   *fleet.Fleet
}

// ListRevision returns the revision of the list of upstreams.
func (v streamView) ListRevision() int64 { return int64(v.catalog.InstancesRevision()) }

// ListAge returns the time since the list was last known to be current.
func (v streamView) ListAge(now time.Time) time.Duration { return v.catalog.InstancesAge(now) }

// Peers describes the other routers.
func (v streamView) Peers(now time.Time) affinity.PeerView { return v.fleet.PeerView(now) }

// LongestStream returns the longest timeout of routes that carry streams, once there is a configuration.
func (v streamView) LongestStream() (timeout time.Duration, configured bool) {
	table := v.catalog.Table()
	if table == nil {
		return 0, false
	}
	return table.LongestStream(gateway.DefaultTimeout), true
}
