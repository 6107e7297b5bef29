package catalog

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const (
	// rewriteTime is the time after the first list of an era in which upstreams that are alive and the operator have
	// written again what the copy lacks.
	rewriteTime = 10 * time.Second
	// removedRetention is how long removed lives are remembered: longer than a copy is old.
	removedRetention = time.Minute
	// maxRemoved bounds the removed lives that are remembered.
	maxRemoved = 4096
)

// beginEra keeps what is known of instances when list, the first one of a new era, replaces old. The list is a copy
// some seconds old: an instance that has left since looks as before, and one that has started since is missing.
//
// Lives that were known to leave stay so for good. Lives that were removed are taken to leave for rewriteTime: by then
// the entries of those that are gone have lapsed. Instances that are missing are held for the grace period, like
// those whose entries lapsed in an outage.
func (c *Catalog) beginEra(old *upstream.Set, list []upstream.Instance, rev Revision, now time.Time, source string) {
	known, removed := 0, 0
	for _, in := range old.List() {
		if in.State != upstream.Draining {
			continue
		}
		known++
		if d := c.leaving[in.Life()]; d != nil {
			d.listed = false // as the copy may say otherwise, peers are told again
			continue
		}
		c.leaving[in.Life()] = &departure{at: now, listedAt: now}
	}
	for i := range list {
		life := list[i].Life()
		at, was := c.removed[life]
		if current := old.Get(life.ID); was && now.Sub(at) < removedRetention && (current == nil || current.Life() != life) && c.leaving[life] == nil {
			c.leaving[life] = &departure{at: now, listedAt: now, until: now.Add(rewriteTime)}
			removed++
		}
	}
	c.boundDepartures()
	c.held.beginCopy(old, now)
	c.log.WithFields(log.Fields{"event": "list_from_copy", "era": rev.Era(), "revision": rev, "source": source, "leaving": known, "removed": removed}).
		Warn("the list of instances is from a copy of the store")
}

// noteRemoved remembers the lives that next lacks.
func (c *Catalog) noteRemoved(old, next *upstream.Set, now time.Time) {
	for _, in := range old.List() {
		if in.State != upstream.Unusable && !next.IsCurrent(in.Life()) {
			c.removed[in.Life()] = now
		}
	}
	if len(c.removed) <= maxRemoved {
		return
	}
	lives := make([]upstream.Life, 0, len(c.removed))
	for life := range c.removed {
		lives = append(lives, life)
	}
	slices.SortFunc(lives, func(a, b upstream.Life) int { return c.removed[a].Compare(c.removed[b]) })
	for _, life := range lives[:len(lives)-maxRemoved] {
		delete(c.removed, life)
	}
}

// Prune forgets removed lives, and departures of lives that have not been listed for long, and lets go of what was kept
// for rewriteTime.
func (c *Catalog) Prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for life, at := range c.removed {
		if now.Sub(at) >= removedRetention {
			delete(c.removed, life)
		}
	}
	c.pruneDepartures(now)
	c.releaseZones(now)
}
