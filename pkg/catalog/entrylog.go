package catalog

import (
	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxFaultLines bounds the lines about entries that can't be used for one news of the list;
// whoever writes them may write hundreds a second.
const maxFaultLines = 10

// logChanges writes a line for each change of the list.
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

// logUnusable tells of entries that newly name no instance to use.
func (c *Catalog) logUnusable(list []upstream.Instance, rev Revision, source string) {
	c.faults += int64(len(list))
	for i, in := range list {
		fields := log.Fields{"event": "instance_unusable", "instance": in.ID, "revision": rev, "source": source, "fault": in.Fault}
		if i == maxFaultLines {
			fields["more"] = len(list) - i - 1
		}
		c.log.WithFields(fields).Warn("entry names no instance to use")
		if i == maxFaultLines {
			return
		}
	}
}

// differences gives what a whole list tells that wasn't known; of the first one only the entries
// that can't be used, as nothing was known before it.
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
	return news(old, all)
}

// Faults is how often an entry of the list changed to one that can't be used.
func (c *Catalog) Faults() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// news gives the changes that differ from old in more than the time left of a warm-up, which
// passes with each heartbeat.
func news(old *upstream.Set, changes []upstream.Change) []upstream.Change {
	var fresh []upstream.Change
	for _, ch := range changes {
		before := old.Get(ch.Instance.ID)
		if ch.Gone && before != nil || !ch.Gone && (before == nil || !sameButWarmup(*before, ch.Instance)) {
			fresh = append(fresh, ch)
		}
	}
	return fresh
}

func sameButWarmup(a, b upstream.Instance) bool {
	a.WarmupTold, a.WarmupLeft = b.WarmupTold, b.WarmupLeft
	return a == b
}
