package catalog

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// gracePeriod is how long after the store's recovery a missing instance is held: instances that are
// alive have registered again by then.
const gracePeriod = 2 * time.Second

// heldInstances holds instances that are missing from the list after an outage of the store.
//
// Entries expire while the store is unavailable, as nobody can renew them. Without the hold, the
// first list after the outage would leave requests without upstreams although these are alive. But
// the interruption may have affected only this router, and then the missing instances have left. So
// an instance is held only while the store is not known to have been available throughout, and
// until the store has responded after the grace period. No instance is held of a service of which
// every list since the interruption had more than half the instances: an outage in which entries
// expire leaves few.
type heldInstances struct {
	active bool
	// copied says that the store came back from a copy: instances may be missing although it was available.
	copied bool
	// listCurrentAt is when the list was last current before the interruption.
	listCurrentAt time.Time
	// graceEnd is the end of the grace period; it is over once the store has responded after it.
	graceEnd time.Time
	// servingBefore is the number of serving instances of each service before the interruption.
	servingBefore map[string]int
	// services are the services whose missing instances are held.
	services map[string]bool
	// ids are the instances that are held.
	ids map[upstream.ID]bool
}

// begin starts a grace period for an interruption since listCurrentAt. A grace period that is
// active continues.
func (l *heldInstances) begin(old *upstream.Set, listCurrentAt time.Time) {
	if l.active {
		return
	}
	*l = heldInstances{active: true, listCurrentAt: listCurrentAt, servingBefore: countServing(old.List()), services: make(map[string]bool), ids: make(map[upstream.ID]bool)}
}

// beginCopy starts a grace period at now for a store that came back from a copy. Instances of all services are held.
func (l *heldInstances) beginCopy(old *upstream.Set, now time.Time) {
	*l = heldInstances{
		active: true, copied: true, listCurrentAt: now, graceEnd: now.Add(gracePeriod),
		servingBefore: countServing(old.List()), services: make(map[string]bool), ids: make(map[upstream.ID]bool),
	}
	for service := range l.servingBefore {
		l.services[service] = true
	}
}

// countServing counts the serving instances of each service.
func countServing(list []upstream.Instance) map[string]int {
	count := make(map[string]int)
	for _, in := range list {
		if serves(in) {
			count[in.Service]++
		}
	}
	return count
}

// serves reports whether an instance takes requests, so that its removal would matter to them.
func serves(in upstream.Instance) bool {
	return in.State != upstream.Draining && in.State != upstream.Unusable
}

// observeContact updates the grace period with the known contact with the store.
//
// The grace period is over only when the store has responded after it. If the store is unavailable
// again at once, nobody can register, and a grace period that ended by time alone would remove all
// upstreams.
func (l *heldInstances) observeContact(c Contact) {
	if l.copied {
		l.active = c.Until.Before(l.graceEnd)
		return
	}
	l.graceEnd = c.Since.Add(gracePeriod)
	if c.covers(l.listCurrentAt) || !c.Until.Before(l.graceEnd) {
		l.active = false
	}
}

// holdMissing returns the instances of old that list lacks and that are held. They replace those
// held before.
func (l *heldInstances) holdMissing(old *upstream.Set, list []upstream.Instance) []upstream.Instance {
	l.ids = nil // the new list decides, except for the instances held below
	if !l.active {
		return nil
	}
	l.ids = make(map[upstream.ID]bool)
	l.selectServices(list)
	present := make(map[upstream.ID]bool, len(list))
	for _, in := range list {
		present[in.ID] = true
	}
	var held []upstream.Instance
	for _, in := range old.List() {
		if !present[in.ID] && serves(in) && l.services[in.Service] {
			l.ids[in.ID] = true
			held = append(held, in)
		}
	}
	return held
}

// selectServices adds the services whose missing instances are held from this list on.
func (l *heldInstances) selectServices(list []upstream.Instance) {
	listed := countServing(list)
	for service, before := range l.servingBefore {
		if 2*listed[service] <= before {
			l.services[service] = true
		}
	}
}

// holdRemovals returns changes without the removals of instances that were listed at the outage,
// and the instances that are held by that. An unusable entry is not a removal: it was written, so
// it did not expire.
//
// An instance whose entry is back is no longer held. The entry changes nothing in the list, so if
// the end of the grace period removed the instance, nobody would notice that it is missing.
func (l *heldInstances) holdRemovals(old *upstream.Set, changes []upstream.Change) (apply []upstream.Change, held []upstream.Instance) {
	if !l.active {
		for _, c := range changes {
			delete(l.ids, c.Instance.ID)
		}
		return changes, nil
	}
	next, _ := old.Apply(slices.Concat(l.removals(), changes))
	l.selectServices(next.List())
	remaining := make([]upstream.Change, 0, len(changes))
	for _, c := range changes {
		was := old.Get(c.Instance.ID)
		if c.Gone && was != nil && serves(*was) && l.services[was.Service] {
			l.ids[c.Instance.ID] = true
			held = append(held, *was)
			continue
		}
		delete(l.ids, c.Instance.ID)
		remaining = append(remaining, c)
	}
	return remaining, held
}

// release returns the removals of the instances that are held, once the grace period is over, and
// forgets them.
func (l *heldInstances) release() []upstream.Change {
	if l.active || len(l.ids) == 0 {
		return nil
	}
	gone := l.removals()
	l.ids = nil
	return gone
}

// removals returns the removals of all held instances.
func (l *heldInstances) removals() []upstream.Change {
	gone := make([]upstream.Change, 0, len(l.ids))
	for id := range l.ids {
		gone = append(gone, removed(id))
	}
	return gone
}

func removed(id upstream.ID) upstream.Change {
	return upstream.Change{Instance: upstream.Instance{ID: id}, Gone: true}
}
