package order

import (
	"slices"

	"github.com/flamingowind/flamingowind/pkg/resource"
)

// target is one declared order, its engine and what the engine last said.
type target struct {
	order    resource.Order
	upstream resource.Upstream
	// declared is the configuration version the order was read from.
	declared uint64
	rank     int
	state    State
}

// targets lists the orders that are this router's care now. Leaving engines get none.
func (r *Reconciler) targets() []target {
	snapshot := r.snapshot()
	if snapshot == nil || len(snapshot.Orders) == 0 {
		return nil
	}
	upstreams := make(map[string]resource.Upstream, len(snapshot.Upstreams))
	for _, u := range snapshot.Upstreams {
		upstreams[u.Name] = u
	}
	var list []target
	for _, o := range snapshot.Orders {
		u, known := upstreams[o.Upstream]
		rank, member := r.ranks.Rank(o.Upstream)
		if !known || u.Leaving || !member || rank > maxRank {
			continue
		}
		list = append(list, target{order: o, upstream: u, declared: snapshot.Version, rank: rank})
	}
	return list
}

// declares says whether o still stands in the configuration in force.
func (r *Reconciler) declares(o resource.Order) bool {
	snapshot := r.snapshot()
	return snapshot != nil && slices.ContainsFunc(snapshot.Orders, func(now resource.Order) bool {
		now.Version = o.Version
		return now == o
	})
}
