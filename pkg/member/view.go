package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// View is the membership at one moment. It never changes.
type View struct {
	// Self is this router's own record.
	Self wire.Member
	// Members are all known routers with Self, dead ones too, in order of ID.
	Members []wire.Member

	alive, known int
	index        map[wire.RouterID]int
	hosts        map[wire.RouterID]platform.Host
	keepers      *rendezvous.Rendezvous
}

// View gives the membership as it is now.
func (r *Roster) View() *View {
	v := &View{Self: r.self, Members: []wire.Member{r.self}, hosts: r.hosts, alive: 1, known: 1}
	for _, e := range r.entries {
		v.Members = append(v.Members, e.Member)
		if e.up() {
			v.alive++
		}
		if e.up() || !e.left {
			v.known++
		}
	}
	v.known += r.unmetHosts()
	slices.SortFunc(v.Members, func(a, b wire.Member) int { return cmp.Compare(a.ID, b.ID) })
	v.index = make(map[wire.RouterID]int, len(v.Members))
	for i, m := range v.Members {
		v.index[m.ID] = i
	}
	v.keepers = rendezvous.New(v.candidates(), xxhash.Sum64String)
	return v
}

// unmetHosts counts live entry hosts that this router has never been in touch with.
func (r *Roster) unmetHosts() int {
	n := 0
	for id, h := range r.hosts {
		if id != r.self.ID && r.entries[id] == nil && h.State == platform.HostLive {
			n++
		}
	}
	return n
}

// candidates lists the routers that may keep cells.
//
// Suspects stay in: most suspicions are pauses that end within DeadAfter, and moving
// all cells of a router away and back costs two rebuilds. Leaving routers are out, so
// that their cells are handed over while they still run. When all are leaving, the
// leaving ones keep on, since what they drain needs grants too.
func (v *View) candidates() []string {
	var staying, leaving []string
	for _, m := range v.Members {
		switch m.State {
		case wire.MemberAlive, wire.MemberSuspect:
			staying = append(staying, string(m.ID))
		case wire.MemberLeaving:
			leaving = append(leaving, string(m.ID))
		}
	}
	if len(staying) == 0 {
		return leaving
	}
	return staying
}

// Keeper gives the router that keeps a cell. Routers with the same view agree; a member
// that comes or goes moves only its own cells.
func (v *View) Keeper(cell wire.CellID) wire.RouterID {
	return wire.RouterID(v.keepers.Lookup(string(cell)))
}

// Member gives the record of a router.
func (v *View) Member(id wire.RouterID) (wire.Member, bool) {
	i, ok := v.index[id]
	if !ok {
		return wire.Member{}, false
	}
	return v.Members[i], true
}

// Reachable counts the members in touch, with this router, against all that are known:
// those that didn't leave in good order and weren't dropped by the host list. A router
// that can't reach the table compares the two to see whether it is on the small side of
// a partition.
func (v *View) Reachable() (alive, known int) { return v.alive, v.known }

// PeerAddr gives the UDP address of a router, from gossip or else from the host list.
func (v *View) PeerAddr(id wire.RouterID) (string, bool) {
	if m, ok := v.Member(id); ok && m.PeerAddr != "" {
		return m.PeerAddr, true
	}
	h, ok := v.hosts[id]
	return h.Addr, ok
}
