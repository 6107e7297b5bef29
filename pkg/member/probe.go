package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// maxProbes bounds the contacts tried in one heartbeat by a router that is alone.
const maxProbes = 3

// contact is a router that isn't in touch: by ID, by address, or both.
type contact struct {
	id   wire.RouterID
	addr string
}

// probes tries routers that aren't in touch: dead ones, hosts that were never met, and
// seeds. That is how a partition heals and a starting router finds the others. One
// contact each ProbeEvery, a few each heartbeat for a router that is alone.
func (r *Roster) probes(now time.Time, l local) []outgoing {
	alone := !r.anyHeard(now)
	if !alone && now.Before(r.probeAt) {
		return nil
	}
	r.probeAt = now.Add(r.opts.ProbeEvery)
	count := 1
	if alone {
		count = maxProbes
	}
	var out []outgoing
	contacts := r.contacts()
	for _, at := range r.rng.Perm(len(contacts)) {
		if len(out) >= count {
			break
		}
		c := contacts[at]
		o := outgoing{to: c.id, addr: c.addr, ping: r.newPing(now, l, c.id)}
		out = append(out, o)
	}
	return out
}

func (r *Roster) anyHeard(now time.Time) bool {
	for _, e := range r.entries {
		if e.up() && r.heardLately(now, e) {
			return true
		}
	}
	return false
}

// contacts lists whom to try, in a fixed order. A dead member whose host has another
// address by now is tried there too.
func (r *Roster) contacts() []contact {
	inTouch := map[string]bool{r.self.PeerAddr: true}
	var list []contact
	for id, e := range r.entries {
		if e.State != wire.MemberDead {
			inTouch[e.PeerAddr] = true
			continue
		}
		list = append(list, contact{id: id})
		if h, ok := r.hosts[id]; ok && h.Addr != e.PeerAddr {
			list = append(list, contact{addr: h.Addr})
		}
	}
	for id, h := range r.hosts {
		if id != r.self.ID && r.entries[id] == nil {
			list = append(list, contact{addr: h.Addr})
		}
	}
	for _, seed := range r.opts.Seeds {
		list = append(list, contact{addr: seed})
	}
	list = slices.DeleteFunc(list, func(c contact) bool { return c.id == "" && (c.addr == "" || inTouch[c.addr]) })
	slices.SortFunc(list, compareContacts)
	return slices.Compact(list)
}

func compareContacts(a, b contact) int {
	return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.addr, b.addr))
}
