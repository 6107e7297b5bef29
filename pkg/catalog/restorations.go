package catalog

import (
	"slices"
	"time"

	"github.com/apex/log"
)

// restorationRetention is how long a restoration is kept and passed on: longer than upstreams take
// to warm up.
const restorationRetention = time.Minute

// Restoration is the end of a zone's evacuation.
type Restoration struct {
	Zone string
	// At is when a router first learned of it, Revision the revision of the store that reported it.
	At       time.Time
	Revision Revision
}

// OnZonesRestored makes f receive zones that are no longer evacuated as soon as that is known, and
// since when. It must be called before the first declaration arrives; f must not call the catalog.
func (c *Catalog) OnZonesRestored(f func(zones []string, at time.Time)) { c.onRestored = f }

// Restorations returns the restorations of the last minute.
func (c *Catalog) Restorations(now time.Time) []Restoration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restorations = slices.DeleteFunc(c.restorations, func(r Restoration) bool { return now.Sub(r.At) >= restorationRetention })
	return slices.Clone(c.restorations)
}

// MergeRestorations merges restorations that other routers know of. Known ones, and older ones of the
// same zone, are ignored.
//
// A router that starts just after a zone was restored never learns that the zone was evacuated. The
// zone's upstreams may still be listed as warm.
func (c *Catalog) MergeRestorations(list []Restoration, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		if now := time.Now(); r.At.After(now) {
			r.At = now
		}
		if !c.addRestoration(r) {
			continue
		}
		c.log.WithFields(log.Fields{"event": "zone_restored", "zone": r.Zone, "revision": r.Revision, "source": source,
			"age_ms": time.Since(r.At).Milliseconds()}).Info("zone restored before this router knew that it was evacuated")
		c.onRestored([]string{r.Zone}, r.At)
	}
}

// addRestoration stores a restoration, and reports whether it is recent and newer than the known
// one of its zone.
func (c *Catalog) addRestoration(r Restoration) bool {
	at := slices.IndexFunc(c.restorations, func(known Restoration) bool { return known.Zone == r.Zone })
	switch {
	case time.Since(r.At) >= restorationRetention:
		return false
	case at < 0:
		c.restorations = append(c.restorations, r)
		return true
	case r.Revision <= c.restorations[at].Revision:
		return false
	}
	c.restorations[at] = r
	return true
}
