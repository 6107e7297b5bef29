package catalog

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Basis is what a choice of an instance goes by.
type Basis struct {
	// Revision is that of the list, Age the time since it was last known to be current.
	Revision Revision
	Age      time.Duration
	// Held is whether the instance is missing from that list and kept for the grace after an
	// outage.
	Held bool
}

// Basis gives what a choice of id at now goes by.
func (c *Catalog) Basis(id upstream.ID, now time.Time) Basis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Basis{Revision: c.revision, Age: now.Sub(c.heard), Held: c.lapsed.ids[id]}
}

// Holds is how often an instance was kept though it was missing from the list.
func (c *Catalog) Holds() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holds
}
