package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/limit"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Configure sets the cell's upstreams and the weights of all organisations. Upstreams that
// remain keep their running counts and limiters.
func (k *Keeper) Configure(ups []resource.Upstream, weights map[string]float64, now time.Time) {
	k.configured = true
	for _, u := range k.declared {
		u.declared = false
	}
	ups = slices.SortedFunc(slices.Values(ups), func(a, b resource.Upstream) int {
		return cmp.Compare(a.Name, b.Name)
	})
	k.declared = make([]*upstream, 0, len(ups))
	slotsOffset, maxOffset := 0, 0
	for _, r := range ups {
		slots := r.Slots
		if slots <= 0 {
			slots = resource.DefaultSlots
		}
		u := k.upstream(r.Name)
		u.declared, u.leaving = true, r.Leaving
		u.limiter.Configure(
			sliceOf(slots, slotsOffset, k.options.Slice, k.options.Slices),
			sliceOf(r.MaxSlots, maxOffset, k.options.Slice, k.options.Slices))
		slotsOffset += slots
		maxOffset += r.MaxSlots
		k.declared = append(k.declared, u)
	}
	k.pruneUpstreams()
	k.setWeights(weights)
	k.refuseUnservable(now)
}

func (k *Keeper) upstream(name string) *upstream {
	u := k.upstreams[name]
	if u == nil {
		u = &upstream{name: name, limiter: limit.New(0, 0), marked: k.marked(name)}
		k.upstreams[name] = u
	}
	return u
}

func (k *Keeper) pruneUpstreams() {
	for name, u := range k.upstreams {
		if !u.declared && u.running == 0 {
			delete(k.upstreams, name)
		}
	}
}

// setWeights sets the weights and drops the counters of removed organisations.
func (k *Keeper) setWeights(weights map[string]float64) {
	for org, w := range weights {
		k.order.SetWeight(org, w)
	}
	var removed []string
	k.order.EachOrg(func(org string) {
		if _, ok := weights[org]; !ok && k.orgSlots[org] == 0 {
			removed = append(removed, org)
		}
	})
	for _, org := range removed {
		k.order.Forget(org)
	}
}

// Mark records that an upstream is leaving or has come back. The highest generation wins,
// so a delayed mark doesn't bring a leaving upstream back.
func (k *Keeper) Mark(m wire.UpstreamMark, now time.Time) {
	if old, ok := k.marks.Get(m.Upstream); ok && m.Generation <= old.Generation {
		return
	}
	k.marks.Add(m.Upstream, m)
	u := k.upstreams[m.Upstream]
	if u == nil {
		return
	}
	u.marked = m.Leaving
	if m.Leaving {
		k.refuseUnservable(now)
	}
}

func (k *Keeper) marked(name string) bool {
	m, _ := k.marks.Get(name)
	return m.Leaving
}

// refuseUnservable refuses the waiting claims that no upstream of the cell can take.
func (k *Keeper) refuseUnservable(now time.Time) {
	for _, id := range sortedRouters(k.routers) {
		for _, c := range sortedClaims(k.routers[id].waiting) {
			if k.unservable(c) {
				k.drop(c)
				k.refuse(c.claimKey, wire.RefusedNoUpstream, 0)
			}
		}
	}
}

func (k *Keeper) unservable(c *claim) bool {
	if !k.configured {
		return false
	}
	for _, u := range k.declared {
		if u.usable() && !slices.Contains(c.Exclude, u.name) {
			return false
		}
	}
	return true
}
