package catalog

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Catalog holds the newest known configuration, instances and evacuations. Readers of these take no
// locks.
type Catalog struct {
	log   log.Interface
	table atomic.Pointer[routing.Table]
	set   atomic.Pointer[upstream.Set]
	// evacuations is nil until the first ones are known.
	evacuations atomic.Pointer[Evacuations]
	// peerVersion is the newest configuration version known to be in use at other routers.
	peerVersion atomic.Int64

	mu sync.Mutex
	// revision is the revision of the instance list; 0 before the first list.
	revision Revision
	// listSince is the revision since which the list is known to be unchanged.
	listSince Revision
	// currentAt is when the list was last known to be current.
	currentAt time.Time
	// held are the instances that are missing from the list since the store recovered.
	held heldInstances
	// leaving are the lives that announced that they leave.
	leaving map[upstream.Life]*departure
	// removed is when lives were removed from the list.
	removed map[upstream.Life]time.Time
	// heldZones are evacuated zones that the copy of the store lacks.
	heldZones heldZones
	// contact is when this router or another one was in contact with the store.
	contact Contact
	// onExpected receives each new list before it is in use, see OnExpected; onInstances receives it after that, see
	// OnInstances.
	onExpected  func(set *upstream.Set)
	onInstances func(set *upstream.Set, known time.Time)
	// onRestored receives zones that are no longer evacuated, see OnZonesRestored.
	onRestored func(zones []string, at time.Time)
	// restorations are the recent ones, at most one for each zone.
	restorations []Restoration
	// faults counts entries that became unusable, heldCount the instances that were held although
	// they were missing from the list.
	faults, heldCount int64
}

// New returns an empty catalog.
func New(l log.Interface) *Catalog {
	c := &Catalog{
		log: l, leaving: make(map[upstream.Life]*departure), removed: make(map[upstream.Life]time.Time),
		onExpected: func(*upstream.Set) {}, onInstances: func(*upstream.Set, time.Time) {}, onRestored: func([]string, time.Time) {},
	}
	c.set.Store(upstream.NewSet(nil))
	return c
}

// OnInstances makes f receive each new list of instances immediately, with the time at which the
// previous list was last known to be current. It must be called before the first list arrives; f
// must not call the catalog.
func (c *Catalog) OnInstances(f func(set *upstream.Set, known time.Time)) { c.onInstances = f }

// OnExpected makes f receive each new list of instances just before it is in use. The rules of OnInstances hold.
func (c *Catalog) OnExpected(f func(set *upstream.Set)) { c.onExpected = f }

// setInstances publishes a new list.
func (c *Catalog) setInstances(set *upstream.Set, known time.Time) {
	c.noteRemoved(c.set.Load(), set, time.Now())
	c.onExpected(set)
	c.set.Store(set)
	c.onInstances(set, known)
}

// Table returns the routing table of the configuration in force; nil before the first.
func (c *Catalog) Table() *routing.Table { return c.table.Load() }

// Instances returns the newest list of upstream instances.
func (c *Catalog) Instances() *upstream.Set { return c.set.Load() }

// Complete reports whether a configuration and a list of instances are known.
func (c *Catalog) Complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Load() != nil && c.revision > 0
}

// Version returns the version of the configuration in force; 0 before the first.
func (c *Catalog) Version() int64 {
	if t := c.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// InstancesRevision returns the revision of the instance list; 0 before the first.
func (c *Catalog) InstancesRevision() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// ListSince returns the revision since which the list is known to be unchanged; 0 before the first.
func (c *Catalog) ListSince() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listSince
}

// List returns the instance list as the store reported it, with its revision and the revision since
// which it is unchanged.
//
// Instances that are held for the grace period after an outage are left out, as they may have left
// for good. Peers that received them as part of this revision would keep them forever, since no
// later change removes them. Peers that lost the store as well hold their own. What instances have announced
// themselves isn't part of the list either; peers learn it by Departures.
func (c *Catalog) List() (set *upstream.Set, rev, since Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set, _ = c.set.Load().Apply(slices.Concat(c.held.removals(), c.unlistedDepartures()))
	return set, c.revision, c.listSince
}

// UnchangedSince reports whether the list is unchanged since revision rev.
func (c *Catalog) UnchangedSince(rev Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rev > 0 && rev >= c.listSince && rev <= c.revision
}

// Confirm records that the list known here was current at revision rev, at time asOf.
func (c *Catalog) Confirm(rev Revision, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev < c.revision || c.revision == 0 {
		return
	}
	c.noteContact(asOf)
	c.revision = rev
	if asOf.After(c.currentAt) {
		c.currentAt = asOf
	}
}

// InstancesAge returns the time since the instance list was last known to be current.
func (c *Catalog) InstancesAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.currentAt)
}

// Adopt puts cfg in force if it is newer than the current configuration. source is for the log.
func (c *Catalog) Adopt(cfg *routing.Config, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.Version()
	// Responses of the store and of peers may overtake each other; an older one must not bring back
	// removed routes and keys. Versions only grow.
	if cfg.Version <= old {
		return
	}
	c.table.Store(routing.NewTable(cfg))
	c.log.WithFields(log.Fields{"event": "config_adopted", "version": cfg.Version, "before": old,
		"source": source, "routes": len(cfg.Routes), "organisations": len(cfg.Organisations)}).Info("configuration in force")
}

// Replace sets the whole instance list as of revision rev, which was current at time asOf. An older
// list is ignored.
func (c *Catalog) Replace(list []upstream.Instance, rev Revision, asOf time.Time, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev < c.revision {
		return
	}
	now, known, first := time.Now(), c.currentAt, c.revision == 0
	c.noteContact(asOf)
	old := c.set.Load()
	if !first && rev.Era() > c.revision.Era() {
		c.beginEra(old, list, rev, now, source)
	}
	c.revision, c.currentAt, c.listSince = rev, asOf, rev
	held := c.held.holdMissing(old, list)
	next := upstream.NewSet(c.applyDepartures(append(list, held...)))
	c.setInstances(next, known)
	c.logChanges(differences(old, next, first), rev, source)
	fields := log.Fields{"event": "instances_read", "revision": rev, "source": source, "instances": len(list)}
	if !first {
		fields["silent_ms"] = now.Sub(known).Milliseconds()
	}
	c.log.WithFields(fields).Info("list of instances read")
	c.logHeld(held, now, source)
}

// Apply applies the changes between the revisions after and rev; rev was current at time asOf.
// Changes that do not continue the known list are ignored.
func (c *Catalog) Apply(changes []upstream.Change, after, rev Revision, asOf time.Time, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > c.revision || rev < c.revision {
		return
	}
	known, now := c.currentAt, time.Now()
	c.noteContact(asOf)
	c.revision = rev
	if asOf.After(c.currentAt) {
		c.currentAt = asOf
	}
	in, held := c.held.holdRemovals(c.set.Load(), changes)
	c.logHeld(held, now, source)
	in = c.applyDeparturesTo(in)
	next, differs := c.set.Load().Apply(in)
	if len(changes) > 0 {
		// An entry that looks unchanged may have been missing at a revision that peers have.
		c.listSince = rev
	}
	if differs {
		changed := significantChanges(c.set.Load(), in)
		c.setInstances(next, known)
		c.logChanges(changed, rev, source)
	}
	c.removeExpired()
}
