package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Evacuations are the availability zones whose upstreams get no requests, exactly as of a revision
// of the store.
type Evacuations struct {
	Zones    []string // sorted
	Revision Revision // 0 until the first read
}

// Evacuated reports whether a zone is evacuated.
func (c *Catalog) Evacuated(zone string) bool {
	e := c.evacuations.Load()
	if e == nil {
		return false
	}
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// Evacuations returns the evacuated zones. The list must not be changed.
func (c *Catalog) Evacuations() Evacuations {
	if e := c.evacuations.Load(); e != nil {
		return *e
	}
	return Evacuations{}
}

// ReplaceEvacuations sets all evacuated zones as of a revision. A revision that is not newer than the
// known one is ignored: each state is complete, so that of the later revision holds.
func (c *Catalog) ReplaceEvacuations(zones []string, rev Revision, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.Evacuations()
	if rev <= known.Revision {
		return
	}
	if known.Revision > 0 && rev.Era() > known.Revision.Era() {
		c.heldZones.begin(known.Zones, zones, time.Now())
	}
	c.setEvacuations(c.heldZones.with(zones), rev, source)
}

// ApplyZoneChanges applies the changes between the revisions after and rev. Changes that do not continue
// the known state are ignored.
func (c *Catalog) ApplyZoneChanges(changes []ZoneChange, after, rev Revision, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.Evacuations()
	if after > known.Revision || rev <= known.Revision {
		return
	}
	zones := make(map[string]bool, len(known.Zones)+len(changes))
	for _, zone := range known.Zones {
		zones[zone] = true
	}
	for _, ch := range changes {
		c.heldZones.release(ch.Zone)
		if ch.Restored {
			delete(zones, ch.Zone)
		} else {
			zones[ch.Zone] = true
		}
	}
	c.setEvacuations(slices.Collect(maps.Keys(zones)), rev, source)
}

// setEvacuations publishes the evacuated zones, and logs and reports what changed.
func (c *Catalog) setEvacuations(zones []string, rev Revision, source string) {
	known := c.Evacuations()
	zones = slices.Compact(slices.Sorted(slices.Values(zones)))
	c.evacuations.Store(&Evacuations{Zones: zones, Revision: rev})
	added, restored := subtract(zones, known.Zones), subtract(known.Zones, zones)
	if len(added)+len(restored) == 0 {
		return
	}
	fields := log.Fields{"event": "zones_evacuated", "zones": zones, "revision": rev, "source": source}
	if len(restored) > 0 {
		fields["restored"] = restored
	}
	if unused := slices.DeleteFunc(added, c.set.Load().HasZone); len(unused) > 0 {
		fields["without_upstreams"] = unused
	}
	c.log.WithFields(fields).Info("evacuated zones")
	if len(restored) > 0 {
		now := time.Now()
		for _, zone := range restored {
			c.addRestoration(Restoration{Zone: zone, At: now, Revision: rev})
		}
		c.onRestored(restored, now)
	}
}

// subtract returns the elements of a that b lacks.
func subtract(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}

// evacuatedZones returns the evacuated zones of a complete read.
func evacuatedZones(changes []ZoneChange) []string {
	zones := make([]string, 0, len(changes))
	for _, ch := range changes {
		if !ch.Restored {
			zones = append(zones, ch.Zone)
		}
	}
	return zones
}

// Placeable reports whether an instance may be given work according to the store.
func (c *Catalog) Placeable(in *upstream.Instance) bool {
	return in.State == upstream.Ready && !c.Evacuated(in.Zone)
}

// StillPlaceable reports whether an instance that was chosen from an earlier list may still be
// given work.
func (c *Catalog) StillPlaceable(in *upstream.Instance) bool {
	now := c.Instances().Get(in.ID)
	return now != nil && now.Life() == in.Life() && c.Placeable(now)
}
