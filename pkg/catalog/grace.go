package catalog

import "time"

// Vouch takes when the store was heard, by this router or another one.
func (c *Catalog) Vouch(o Contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vouch(o)
}

// Contact is when the store was heard, as far as this router knows.
func (c *Catalog) Contact() Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contact
}

// GraceEnd is when the store is to be asked what is still missing; false while nothing is kept.
func (c *Catalog) GraceEnd() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lapsed.until, c.lapsed.open && len(c.lapsed.ids) > 0
}

// hear notes that the store answered at asOf, before its news are taken. A grace begins when the
// store may have been away since the list was last current.
func (c *Catalog) hear(asOf time.Time) {
	c.vouch(Contact{Since: asOf, Until: asOf})
	if c.revision > 0 && !c.contact.covers(c.heard) {
		c.lapsed.begin(c.set.Load(), c.heard)
		c.lapsed.observe(c.contact)
	}
}

// vouch joins o to what is known of the store's contact.
//
// Guard: what is missing after a silence that was this router's own has left. A router that the
// store served all the while knows.
func (c *Catalog) vouch(o Contact) {
	c.contact = c.contact.join(o)
	if c.lapsed.open {
		c.lapsed.observe(c.contact)
		c.settle()
	}
}

// settle takes instances that stay missing off the list.
func (c *Catalog) settle() {
	gone := c.lapsed.settle()
	if len(gone) == 0 {
		return
	}
	next, _ := c.set.Load().Apply(gone)
	c.changed = c.revision
	c.put(next, c.heard)
	c.logChanges(gone, c.revision, "grace after an outage")
}
