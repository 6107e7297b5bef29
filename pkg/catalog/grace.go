package catalog

import "time"

// MergeContact merges a contact with the store, of this router or another one.
func (c *Catalog) MergeContact(o Contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeContact(o)
}

// Contact returns the contact with the store as far as this router knows.
func (c *Catalog) Contact() Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contact
}

// GraceEnd returns when the store is to be asked for the instances that are still missing; false
// while no instance is held.
func (c *Catalog) GraceEnd() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held.graceEnd, c.held.active && len(c.held.ids) > 0
}

// noteContact records that the store responded at asOf, before the response is applied. It starts a
// grace period if the store may have been unavailable since the list was last current.
func (c *Catalog) noteContact(asOf time.Time) {
	c.mergeContact(Contact{Since: asOf, Until: asOf})
	if c.revision > 0 && !c.contact.covers(c.currentAt) {
		c.held.begin(c.set.Load(), c.currentAt)
		c.held.observeContact(c.contact)
	}
}

// mergeContact merges o into the known contact with the store.
//
// An instance that is missing after an interruption that affected only this router has left.
// Routers that stayed in contact with the store know that it was available.
func (c *Catalog) mergeContact(o Contact) {
	c.contact = c.contact.merge(o)
	if c.held.active {
		c.held.observeContact(c.contact)
		c.removeExpired()
	}
}

// removeExpired removes held instances that are still missing when the grace period is over.
func (c *Catalog) removeExpired() {
	gone := c.held.release()
	if len(gone) == 0 {
		return
	}
	next, _ := c.set.Load().Apply(gone)
	c.listSince = c.revision
	c.setInstances(next, c.currentAt)
	c.logChanges(gone, c.revision, "grace after an outage")
}
