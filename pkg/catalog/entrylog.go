package catalog

import (
	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxFaultLines bounds the log lines about unusable entries for one update of the list, as a faulty
// writer may write hundreds of entries a second.
const maxFaultLines = 10

// logChanges logs each change of the list.
func (c *Catalog) logChanges(changes []upstream.Change, rev Revision, source string) {
	var unusable []upstream.Instance
	for _, ch := range changes {
		if ch.Instance.State == upstream.Unusable {
			unusable = append(unusable, ch.Instance)
			continue
		}
		fields := log.Fields{"event": "instance_changed", "instance": ch.Instance.ID, "revision": rev, "source": source, "gone": ch.Gone}
		if !ch.Gone {
			fields["service"], fields["addr"], fields["state"] = ch.Instance.Service, ch.Instance.Addr, ch.Instance.State
			fields["born"] = ch.Instance.Born
		}
		c.log.WithFields(fields).Info("instance changed")
	}
	c.logUnusable(unusable, rev, source)
}

// logUnusable logs and counts entries that became unusable.
func (c *Catalog) logUnusable(list []upstream.Instance, rev Revision, source string) {
	c.faults += int64(len(list))
	for i, in := range list {
		fields := log.Fields{"event": "instance_unusable", "instance": in.ID, "revision": rev, "source": source, "fault": in.Fault}
		if i == maxFaultLines {
			fields["more"] = len(list) - i - 1
		}
		c.log.WithFields(fields).Warn("list entry does not describe a usable instance")
		if i == maxFaultLines {
			return
		}
	}
}

// differences returns the changes between old and a whole new list. For the first list it returns
// only the unusable entries, as nothing was known before.
func differences(old, next *upstream.Set, first bool) []upstream.Change {
	var all []upstream.Change
	for _, in := range next.List() {
		if !first || in.State == upstream.Unusable {
			all = append(all, upstream.Change{Instance: in})
		}
	}
	for _, in := range old.List() {
		if next.Get(in.ID) == nil {
			all = append(all, upstream.Change{Instance: upstream.Instance{ID: in.ID}, Gone: true})
		}
	}
	return significantChanges(old, all)
}

// Faults returns how often an entry of the list became unusable.
func (c *Catalog) Faults() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// significantChanges returns the changes that differ from old in more than the time left of a
// warm-up, which changes with each heartbeat.
func significantChanges(old *upstream.Set, changes []upstream.Change) []upstream.Change {
	var significant []upstream.Change
	for _, ch := range changes {
		before := old.Get(ch.Instance.ID)
		if ch.Gone && before != nil || !ch.Gone && (before == nil || !equalExceptWarmup(*before, ch.Instance)) {
			significant = append(significant, ch)
		}
	}
	return significant
}

func equalExceptWarmup(a, b upstream.Instance) bool {
	a.WarmupTold, a.WarmupLeft = b.WarmupTold, b.WarmupLeft
	return a == b
}
