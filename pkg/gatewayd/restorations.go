package gatewayd

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/catalog"
	"github.com/flamingowind/flamingowind/pkg/fleet"
)

// maxRestoredMs bounds the age of a restoration, in milliseconds.
const maxRestoredMs = 3_600_000

// encodeRestorations encodes the recent restorations of zones for a report.
func encodeRestorations(c *catalog.Catalog, now time.Time) []fleet.RestoredZone {
	var zones []fleet.RestoredZone
	for _, r := range c.Restorations(now) {
		zones = append(zones, fleet.RestoredZone{Zone: r.Zone, Revision: int64(r.Revision), AgeMs: now.Sub(r.At).Milliseconds()})
	}
	return zones
}

// decodeRestorations decodes the restorations in a report.
func decodeRestorations(zones []fleet.RestoredZone, now time.Time) []catalog.Restoration {
	list := make([]catalog.Restoration, 0, len(zones))
	for _, z := range zones {
		// A time in the future counts as now; an age over the maximum is too old to matter.
		age := time.Duration(min(max(0, z.AgeMs), maxRestoredMs)) * time.Millisecond
		list = append(list, catalog.Restoration{Zone: z.Zone, Revision: catalog.Revision(z.Revision), At: now.Add(-age)})
	}
	return list
}
