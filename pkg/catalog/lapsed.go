package catalog

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// lapseGrace is how long after the store's return an instance that is missing is kept: live ones
// have written themselves in again by then.
const lapseGrace = 2 * time.Second

// lapsed keeps instances that are missing from the list after an outage of the store.
//
// Guard: entries lapse while the store is away, as nobody can renew them. Taken as the truth, the
// first list after the outage would leave requests without upstreams that are alive. But a silence
// may as well be this router's own, and what is missing then has left. So an instance is kept
// only while the store isn't known to have been there all the while, for the grace after its
// return, and while no more than half of its service's instances are listed: with more of them,
// requests need no instance that may have left.
type lapsed struct {
	// from is when the list was last current before the silence, until the end of the grace.
	from, until time.Time
	// before is how many instances of each service served before the silence.
	before map[string]int
	// ids are the instances that are kept.
	ids map[upstream.ID]bool
}

// open begins a grace after a silence since from.
func (l *lapsed) open(old *upstream.Set, from, until time.Time) {
	l.from, l.until, l.before = from, until, make(map[string]int)
	if l.ids == nil {
		l.ids = make(map[upstream.ID]bool)
	}
	for _, in := range old.List() {
		if serves(in) {
			l.before[in.Service]++
		}
	}
}

// serves reports whether requests miss an instance that is gone.
func serves(in upstream.Instance) bool {
	return in.State != upstream.Draining && in.State != upstream.Unusable
}

// shorten takes what is known of the store's contact now.
func (l *lapsed) shorten(c Contact, now time.Time) {
	if c.covers(l.from) {
		l.until = now
	} else if end := c.Since.Add(lapseGrace); end.Before(l.until) {
		l.until = end
	}
}

// isOpen reports whether the grace lasts.
func (l *lapsed) isOpen(now time.Time) bool { return now.Before(l.until) }

// missing gives the instances of old that list lacks and that are kept. Afterwards they are the
// only ones.
func (l *lapsed) missing(old *upstream.Set, list []upstream.Instance, now time.Time) []upstream.Instance {
	l.ids = nil // the list is the truth again, but for what is kept
	if !l.isOpen(now) {
		return nil
	}
	l.ids = make(map[upstream.ID]bool)
	listed, present := make(map[string]int), make(map[upstream.ID]bool, len(list))
	for _, in := range list {
		present[in.ID] = true
		if serves(in) {
			listed[in.Service]++
		}
	}
	var kept []upstream.Instance
	for _, in := range old.List() {
		if !present[in.ID] && serves(in) && l.lacks(in.Service, listed[in.Service]) {
			l.ids[in.ID] = true
			kept = append(kept, in)
		}
	}
	return kept
}

// lacks reports whether a service of which that many instances are listed lacks those that are
// missing.
func (l *lapsed) lacks(service string, listed int) bool { return 2*listed <= l.before[service] }

// filter leaves out removals of instances that were there at the outage, and gives the instances
// that are kept by that. An entry that can't be used is no removal: somebody wrote it, so it
// didn't lapse.
//
// Guard: an entry that is back as the grace ends must not be taken away by its end. It changes
// nothing in the list, so nobody would notice that it is missing from then on.
func (l *lapsed) filter(old *upstream.Set, changes []upstream.Change, now time.Time) (in []upstream.Change, held []upstream.Instance) {
	if !l.isOpen(now) {
		for _, c := range changes {
			delete(l.ids, c.Instance.ID)
		}
		return changes, nil
	}
	kept := make([]upstream.Change, 0, len(changes))
	for _, c := range changes {
		was := old.Get(c.Instance.ID)
		if c.Gone && was != nil && serves(*was) {
			l.ids[c.Instance.ID] = true
			held = append(held, *was)
			continue
		}
		delete(l.ids, c.Instance.ID)
		kept = append(kept, c)
	}
	return kept, held
}

// settle gives the removals that are due: all that were held back once the grace is over, before
// that those of services that don't lack them.
func (l *lapsed) settle(set *upstream.Set, now time.Time) []upstream.Change {
	if len(l.ids) == 0 {
		return nil
	}
	if !l.isOpen(now) {
		gone := l.held()
		l.ids = nil
		return gone
	}
	listed := make(map[string]int)
	for _, in := range set.List() {
		if serves(in) && !l.ids[in.ID] {
			listed[in.Service]++
		}
	}
	var gone []upstream.Change
	for id := range l.ids {
		if in := set.Get(id); in == nil || !l.lacks(in.Service, listed[in.Service]) {
			gone = append(gone, removed(id))
			delete(l.ids, id)
		}
	}
	return gone
}

// held gives the removals that are held back.
func (l *lapsed) held() []upstream.Change {
	gone := make([]upstream.Change, 0, len(l.ids))
	for id := range l.ids {
		gone = append(gone, removed(id))
	}
	return gone
}

func removed(id upstream.ID) upstream.Change {
	return upstream.Change{Instance: upstream.Instance{ID: id}, Gone: true}
}
