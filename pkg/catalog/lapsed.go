package catalog

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// lapseGrace is how long an instance that is missing after an outage of the store is kept:
// live ones have written themselves in again by then.
const lapseGrace = 2 * time.Second

// lapsed keeps the instances that are missing from the list after an outage.
//
// Guard: entries lapse while the store is away, as nobody can renew them. Taken as the
// truth, the first list after the outage would leave requests without upstreams that are
// alive. Within the grace a missing instance stays; it goes when the grace ends.
type lapsed struct {
	until time.Time
	ids   map[upstream.ID]bool
}

// open begins a grace.
func (l *lapsed) open(now time.Time) {
	l.until = now.Add(lapseGrace)
	l.ids = make(map[upstream.ID]bool)
}

// missing gives the instances of old that list lacks, as long as the grace lasts.
func (l *lapsed) missing(old *upstream.Set, list []upstream.Instance, now time.Time) []upstream.Instance {
	if !now.Before(l.until) {
		l.ids = nil // the list is the truth again, and what comes after it is no lapse
		return nil
	}
	present := make(map[upstream.ID]bool, len(list))
	for _, in := range list {
		present[in.ID] = true
		delete(l.ids, in.ID)
	}
	var kept []upstream.Instance
	for _, in := range old.List() {
		if !present[in.ID] {
			l.ids[in.ID] = true
			kept = append(kept, in)
		}
	}
	return kept
}

// filter leaves out removals of instances that were there at the outage. An entry that can't be
// used is no removal: somebody wrote it, so it didn't lapse.
//
// Guard: an entry that is back as the grace ends must not be taken away by its end. It changes
// nothing in the list, so nobody would notice that it is missing from then on.
func (l *lapsed) filter(old *upstream.Set, changes []upstream.Change, now time.Time) (in []upstream.Change, held []upstream.Instance) {
	if !now.Before(l.until) {
		for _, c := range changes {
			delete(l.ids, c.Instance.ID)
		}
		return changes, nil
	}
	kept := make([]upstream.Change, 0, len(changes))
	for _, c := range changes {
		if was := old.Get(c.Instance.ID); c.Gone && was != nil {
			l.ids[c.Instance.ID] = true
			held = append(held, *was)
			continue
		}
		delete(l.ids, c.Instance.ID)
		kept = append(kept, c)
	}
	return kept, held
}

// settle gives the removals that are due once the grace is over.
func (l *lapsed) settle(now time.Time) []upstream.Change {
	if now.Before(l.until) || len(l.ids) == 0 {
		return nil
	}
	gone := l.held()
	l.ids = nil
	return gone
}

// held gives the removals that are held back.
func (l *lapsed) held() []upstream.Change {
	gone := make([]upstream.Change, 0, len(l.ids))
	for id := range l.ids {
		gone = append(gone, upstream.Change{Instance: upstream.Instance{ID: id}, Gone: true})
	}
	return gone
}
