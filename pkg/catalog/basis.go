package catalog

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Basis describes the instance list that an instance was chosen from.
type Basis struct {
	// Revision is the revision of the list, Age the time since the list was last known to be
	// current.
	Revision Revision
	Age      time.Duration
	// Held is whether the instance is missing from that list and held for the grace period after an
	// outage.
	Held bool
}

// Basis returns the basis of a choice of instance id at now.
func (c *Catalog) Basis(id upstream.ID, now time.Time) Basis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Basis{Revision: c.revision, Age: now.Sub(c.currentAt), Held: c.held.ids[id]}
}

// HeldTotal returns how often an instance was held although it was missing from the list.
func (c *Catalog) HeldTotal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldCount
}
