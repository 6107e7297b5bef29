package catalog

import (
	"slices"
	"time"
)

// heldZones are evacuated zones that a copy of the store lacks. They stay evacuated until the operator has written
// them again, for rewriteTime at most: an evacuation that was lost and isn't wanted any more is never written.
type heldZones struct {
	zones []string
	until time.Time
}

// begin holds the known zones that the copy, read at now, lacks.
func (h *heldZones) begin(known, listed []string, now time.Time) {
	h.zones, h.until = subtract(known, listed), now.Add(rewriteTime)
}

// with returns the listed zones and those that are held.
func (h *heldZones) with(listed []string) []string { return slices.Concat(listed, h.zones) }

// release ends the hold of a zone that has been written again.
func (h *heldZones) release(zone string) {
	h.zones = slices.DeleteFunc(h.zones, func(z string) bool { return z == zone })
}

// releaseZones ends the hold of zones that nobody has written again.
func (c *Catalog) releaseZones(now time.Time) {
	if len(c.heldZones.zones) == 0 || now.Before(c.heldZones.until) {
		return
	}
	known := c.Evacuations()
	listed := subtract(known.Zones, c.heldZones.zones)
	c.heldZones.zones = nil
	c.setEvacuations(listed, known.Revision, "not written again after the store came back from a copy")
}
