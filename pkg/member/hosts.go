package member

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// SetHosts takes the platform's host list, the lagging second source: it names routers
// to get in touch with, and it alone lets a dead member be forgotten.
//
// Guard: were dead members forgotten by time, the small side of a long partition would
// in the end know only itself, take itself for the whole fleet and serve with old
// configuration. A list that leaves the member out for HostGone comes from outside the
// partition. A member that is alive stays whatever the list says: the list lags.
func (r *Roster) SetHosts(now time.Time, list platform.HostList) {
	hosts := make(map[wire.RouterID]platform.Host)
	for _, h := range list.Hosts {
		if h.Kind == platform.HostEntry {
			hosts[wire.RouterID(h.Name)] = h
		}
	}
	r.hosts = hosts
	r.changed = true
	for id, e := range r.entries {
		if _, listed := hosts[id]; listed {
			e.missing = time.Time{}
			continue
		}
		if e.missing.IsZero() {
			e.missing = now
		}
		if e.State == wire.MemberDead && now.Sub(e.missing) >= r.opts.HostGone {
			delete(r.entries, id)
			r.rings.stale = true
		}
	}
}
