package catalog

import "time"

// Vouch takes when other routers heard the store.
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

// hear notes that the store answered at asOf, before its news are taken. A grace begins when the
// store may have been away since the list was last current.
func (c *Catalog) hear(asOf time.Time) {
	c.vouch(Contact{Since: asOf, Until: asOf})
	if c.revision == 0 || c.contact.covers(c.heard) {
		return
	}
	c.lapsed.open(c.set.Load(), c.heard, c.contact.Since.Add(lapseGrace))
	c.awaitGraceEnd()
}

// vouch joins o to what is known of the store's contact.
//
// Guard: what is missing after a silence that was this router's own has left. A router that the
// store served all the while knows.
func (c *Catalog) vouch(o Contact) {
	c.contact = c.contact.join(o)
	now := time.Now()
	if !c.lapsed.isOpen(now) {
		return
	}
	c.lapsed.shorten(c.contact, now)
	c.settle(now)
	c.awaitGraceEnd()
}

// awaitGraceEnd makes the grace end at its time, whatever the watches wait for.
func (c *Catalog) awaitGraceEnd() {
	if c.graceEnd != nil {
		c.graceEnd.Stop()
	}
	c.graceEnd = time.AfterFunc(time.Until(c.lapsed.until), func() { c.Settle(time.Now()) })
}

// Settle takes instances that stay missing off the list.
func (c *Catalog) Settle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(now)
}

func (c *Catalog) settle(now time.Time) {
	gone := c.lapsed.settle(c.set.Load(), now)
	if len(gone) == 0 {
		return
	}
	next, _ := c.set.Load().Apply(gone)
	c.changed = c.revision
	c.put(next, c.heard)
	c.logChanges(gone, c.revision, "grace after an outage")
}
