package catalog

// NotePeerVersion records that other routers use a version of the configuration.
func (c *Catalog) NotePeerVersion(version int64) {
	for {
		known := c.peerVersion.Load()
		if version <= known || c.peerVersion.CompareAndSwap(known, version) {
			return
		}
	}
}

// Outdated reports whether other routers use a newer configuration than this one.
func (c *Catalog) Outdated() bool { return c.peerVersion.Load() > c.Version() }
