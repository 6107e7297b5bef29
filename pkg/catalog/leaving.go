package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const (
	// leavingRetention is how long a departure is remembered after its life was last listed. An entry may
	// lapse during an outage of the store and come back as it was while the upstream is still terminating.
	leavingRetention = 10 * time.Minute
	// maxLeaving bounds the departures that are remembered; those of the lives that were listed longest ago
	// are forgotten first.
	maxLeaving = 4096
)

// Departure is the announcement of an upstream that it leaves, from a response of its own. It holds for the
// rest of the upstream's life.
type Departure struct {
	Life upstream.Life
	// At is when a router read it.
	At time.Time
}

// departure is what is known of a life that leaves: it announced it, was listed as draining before the store came back
// from a copy, or is assumed to have ended as the copy is older than its removal.
type departure struct {
	at time.Time
	// until is when it ends unless it was announced; zero for the end of the life.
	until time.Time
	// listed is whether the list says so as well, listedAt when the life was last listed.
	listed   bool
	listedAt time.Time
}

// NoteDeparture records an announcement, and reports whether it was news.
//
// The list can't take it back: its entry for the same life is older, whatever revision it has, as an upstream
// that leaves doesn't come back in the same life.
func (c *Catalog) NoteDeparture(d Departure, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.leaving[d.Life]; known != nil && known.until.IsZero() {
		return false
	}
	c.leaving[d.Life] = &departure{at: d.At, listedAt: time.Now()}
	c.boundDepartures()
	c.log.WithFields(log.Fields{"event": "instance_leaving", "instance": d.Life.ID, "source": source, "age_ms": time.Since(d.At).Milliseconds()}).
		Info("instance announced that it leaves")
	in := c.set.Load().Get(d.Life.ID)
	if in == nil || in.Life() != d.Life || in.State != upstream.Ready {
		return true
	}
	left := *in
	left.State = upstream.Draining
	next, _ := c.set.Load().Apply([]upstream.Change{{Instance: left}})
	c.setInstances(next, d.At)
	return true
}

// boundDepartures forgets departures beyond maxLeaving.
func (c *Catalog) boundDepartures() {
	if len(c.leaving) <= maxLeaving {
		return
	}
	set := c.set.Load()
	lives := slices.SortedFunc(maps.Keys(c.leaving), func(a, b upstream.Life) int {
		return c.leaving[a].listedAt.Compare(c.leaving[b].listedAt)
	})
	slices.SortStableFunc(lives, func(a, b upstream.Life) int { return listedLast(set.IsCurrent(a), set.IsCurrent(b)) })
	for _, life := range lives[:len(lives)-maxLeaving] {
		delete(c.leaving, life)
	}
}

// listedLast orders lives that are listed after those that are not.
func listedLast(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Departures returns the announcements that the list doesn't contain yet.
func (c *Catalog) Departures() []Departure {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Departure
	for life, d := range c.leaving {
		if !d.listed && d.until.IsZero() && c.set.Load().IsCurrent(life) {
			list = append(list, Departure{Life: life, At: d.at})
		}
	}
	return list
}

// pruneDepartures forgets the departures of lives that have not been listed for long.
func (c *Catalog) pruneDepartures(now time.Time) {
	for life, d := range c.leaving {
		if c.set.Load().IsCurrent(life) {
			d.listedAt = now
		}
		if now.Sub(d.listedAt) >= leavingRetention || !d.until.IsZero() && !now.Before(d.until) {
			delete(c.leaving, life)
			c.relist(life, d, now)
		}
	}
}

// relist brings a life whose departure was assumed for a time back into use, if the list has it as ready.
func (c *Catalog) relist(life upstream.Life, d *departure, now time.Time) {
	in := c.set.Load().Get(life.ID)
	if d.until.IsZero() || d.listed || in == nil || in.Life() != life || in.State != upstream.Draining {
		return
	}
	listed := *in
	listed.State = upstream.Ready
	next, _ := c.set.Load().Apply([]upstream.Change{{Instance: listed}})
	c.setInstances(next, now)
}

// applyDeparture returns an entry as the store reports it, changed to Draining if its life has announced that
// it leaves.
func (c *Catalog) applyDeparture(in upstream.Instance) upstream.Instance {
	d := c.leaving[in.Life()]
	switch {
	case d == nil:
	case in.State == upstream.Draining:
		d.listed = true
	case in.State == upstream.Ready:
		in.State = upstream.Draining
	}
	return in
}

// applyDepartures does so for a whole list.
func (c *Catalog) applyDepartures(list []upstream.Instance) []upstream.Instance {
	if len(c.leaving) == 0 {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		list[i] = c.applyDeparture(list[i])
	}
	return list
}

// applyDeparturesTo does so for changes of the list.
func (c *Catalog) applyDeparturesTo(changes []upstream.Change) []upstream.Change {
	if len(c.leaving) == 0 {
		return changes
	}
	changes = slices.Clone(changes)
	for i := range changes {
		if !changes[i].Gone {
			changes[i].Instance = c.applyDeparture(changes[i].Instance)
		}
	}
	return changes
}

// unlistedDepartures returns the entries of instances whose departure the list doesn't contain yet, as they
// are listed.
func (c *Catalog) unlistedDepartures() []upstream.Change {
	var entries []upstream.Change
	for life, d := range c.leaving {
		in := c.set.Load().Get(life.ID)
		if d.listed || in == nil || in.Life() != life || in.State != upstream.Draining {
			continue
		}
		listed := *in
		listed.State = upstream.Ready
		entries = append(entries, upstream.Change{Instance: listed})
	}
	return entries
}
