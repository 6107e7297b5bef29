package member

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// maxHelpers bounds the members asked about a silent one.
const maxHelpers = 3

// rings are a few pseudo-random orders of the members that aren't dead. All routers
// with the same list have the same rings.
type rings struct {
	stale  bool
	orders [][]wire.RouterID
	all    []wire.RouterID // without self, in order of ID
}

func (r *Roster) currentRings() *rings {
	if r.rings.stale {
		r.rings = r.buildRings()
	}
	return &r.rings
}

func (r *Roster) buildRings() rings {
	var all []wire.RouterID
	for id, e := range r.entries {
		if e.State != wire.MemberDead {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	built := rings{all: all}
	if len(all)+1 <= r.opts.FullMesh {
		return built
	}
	for salt := range r.opts.Rings {
		built.orders = append(built.orders, ringOrder(append(slices.Clone(all), r.self.ID), salt))
	}
	return built
}

// ringOrder sorts ids by a hash that differs for each salt.
func ringOrder(ids []wire.RouterID, salt int) []wire.RouterID {
	hashes := make(map[wire.RouterID]uint64, len(ids))
	for _, id := range ids {
		hashes[id] = xxhash.Sum64String(strconv.Itoa(salt) + "/" + string(id))
	}
	slices.SortFunc(ids, func(a, b wire.RouterID) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
	return ids
}

// targets lists the members that this router pings each heartbeat: all in a small
// fleet, its successors in the rings in a large one.
func (r *Roster) targets() []wire.RouterID {
	rs := r.currentRings()
	if rs.orders == nil {
		return rs.all
	}
	var list []wire.RouterID
	for _, order := range rs.orders {
		next := neighbour(order, r.self.ID, 1)
		if next != r.self.ID && !slices.Contains(list, next) {
			list = append(list, next)
		}
	}
	return list
}

// helpers lists members that may have heard id: the others who ping it.
func (r *Roster) helpers(id wire.RouterID) []wire.RouterID {
	rs := r.currentRings()
	if rs.orders == nil {
		return r.someUp(maxHelpers, id)
	}
	var list []wire.RouterID
	for _, order := range rs.orders {
		before := neighbour(order, id, -1)
		if before != r.self.ID && before != id && !slices.Contains(list, before) {
			list = append(list, before)
		}
	}
	return list
}

// neighbour gives the member step places after id in a ring.
func neighbour(order []wire.RouterID, id wire.RouterID, step int) wire.RouterID {
	at := slices.Index(order, id)
	return order[(at+step+len(order))%len(order)]
}

// someUp gives up to n random members that are up, without id.
func (r *Roster) someUp(n int, id wire.RouterID) []wire.RouterID {
	var list []wire.RouterID
	all := r.currentRings().all
	for _, at := range r.rng.Perm(len(all)) {
		if len(list) == n {
			break
		}
		if candidate := all[at]; candidate != id && r.entries[candidate].up() {
			list = append(list, candidate)
		}
	}
	return list
}
