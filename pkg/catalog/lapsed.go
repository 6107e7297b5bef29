package catalog

import (
	"slices"
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
// only while the store isn't known to have been there all the while, and until the store has
// answered after the grace. Nothing is kept of a service of which each list since the silence had
// more than half: an outage that entries lapse in leaves few.
type lapsed struct {
	open bool
	// from is when the list was last current before the silence.
	from time.Time
	// until is the end of the grace; it is over once the store has answered after it.
	until time.Time
	// before is how many instances of each service served before the silence.
	before map[string]int
	// kept are the services whose instances are kept.
	kept map[string]bool
	// ids are the instances that are kept.
	ids map[upstream.ID]bool
}

// begin opens a grace after a silence since from. One that is open goes on.
func (l *lapsed) begin(old *upstream.Set, from time.Time) {
	if l.open {
		return
	}
	*l = lapsed{open: true, from: from, before: serving(old.List()), kept: make(map[string]bool), ids: make(map[upstream.ID]bool)}
}

// serving counts the instances of each service that serve.
func serving(list []upstream.Instance) map[string]int {
	count := make(map[string]int)
	for _, in := range list {
		if serves(in) {
			count[in.Service]++
		}
	}
	return count
}

// serves reports whether requests miss an instance that is gone.
func serves(in upstream.Instance) bool {
	return in.State != upstream.Draining && in.State != upstream.Unusable
}

// observe takes what is known of the store's contact now.
//
// Guard: a store that is away again at once gives nobody the time to be back. A grace that ended
// by the time alone would then take all upstreams off the list.
func (l *lapsed) observe(c Contact) {
	l.until = c.Since.Add(lapseGrace)
	if c.covers(l.from) || !c.Until.Before(l.until) {
		l.open = false
	}
}

// missing gives the instances of old that list lacks and that are kept. Afterwards they are the
// only ones.
func (l *lapsed) missing(old *upstream.Set, list []upstream.Instance) []upstream.Instance {
	l.ids = nil // the list is the truth again, but for what is kept
	if !l.open {
		return nil
	}
	l.ids = make(map[upstream.ID]bool)
	l.judge(list)
	present := make(map[upstream.ID]bool, len(list))
	for _, in := range list {
		present[in.ID] = true
	}
	var kept []upstream.Instance
	for _, in := range old.List() {
		if !present[in.ID] && serves(in) && l.kept[in.Service] {
			l.ids[in.ID] = true
			kept = append(kept, in)
		}
	}
	return kept
}

// judge decides by a list which services' instances are kept from now on.
func (l *lapsed) judge(list []upstream.Instance) {
	listed := serving(list)
	for service, before := range l.before {
		if 2*listed[service] <= before {
			l.kept[service] = true
		}
	}
}

// filter leaves out removals of instances that were there at the outage, and gives the instances
// that are kept by that. An entry that can't be used is no removal: somebody wrote it, so it
// didn't lapse.
//
// Guard: an entry that is back as the grace ends must not be taken away by its end. It changes
// nothing in the list, so nobody would notice that it is missing from then on.
func (l *lapsed) filter(old *upstream.Set, changes []upstream.Change) (in []upstream.Change, held []upstream.Instance) {
	if !l.open {
		for _, c := range changes {
			delete(l.ids, c.Instance.ID)
		}
		return changes, nil
	}
	next, _ := old.Apply(slices.Concat(l.held(), changes))
	l.judge(next.List())
	kept := make([]upstream.Change, 0, len(changes))
	for _, c := range changes {
		was := old.Get(c.Instance.ID)
		if c.Gone && was != nil && serves(*was) && l.kept[was.Service] {
			l.ids[c.Instance.ID] = true
			held = append(held, *was)
			continue
		}
		delete(l.ids, c.Instance.ID)
		kept = append(kept, c)
	}
	return kept, held
}

// settle gives the removals that are due: those that were held back, once the grace is over.
func (l *lapsed) settle() []upstream.Change {
	if l.open || len(l.ids) == 0 {
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
		gone = append(gone, removed(id))
	}
	return gone
}

func removed(id upstream.ID) upstream.Change {
	return upstream.Change{Instance: upstream.Instance{ID: id}, Gone: true}
}
