package keeper

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// chooseIdle finds an upstream on which a suspect can run by itself. A content that ran
// on an upstream when it died may have killed it. Were it to run beside others, its next
// victim would take innocent requests along; alone, it harms none but the upstream, and
// the death tells which content it was.
//
// Under load no upstream gets idle by itself. After its patience a suspect whose turn it
// is has one upstream emptied for it. One suspect of the cell runs or has an upstream
// emptied at a time: innocents lose a part of the capacity for a short time and keep the
// other upstreams.
func (p *picker) chooseIdle(c *claim) *upstream {
	k := p.k
	if k.aloneSlots() > 0 {
		return nil
	}
	for _, u := range k.ranked {
		if u.idle(p.now) && !slices.Contains(c.Exclude, u.name) && (u != k.emptied || k.emptiedFor == c) {
			return u
		}
	}
	if k.emptied == nil && p.now.Sub(c.since) >= k.o.SuspectPatience {
		k.emptied, k.emptiedFor = p.leastRunning(c), c
	}
	return nil
}

func (p *picker) leastRunning(c *claim) *upstream {
	var best *upstream
	for _, u := range p.k.ranked {
		if !u.healthy(p.now) || u.alone > 0 || slices.Contains(c.Exclude, u.name) {
			continue
		}
		if best == nil || u.running < best.running {
			best = u
		}
	}
	return best
}

// aloneSlots counts the cell's suspects that run.
func (k *Keeper) aloneSlots() (n int) {
	for _, u := range k.upstreams {
		n += u.alone
	}
	return n
}

// Suspected tells that Options.Deaths has news of a content: its waiting claims are
// refused, or set aside to run alone.
func (k *Keeper) Suspected(content uint64) {
	for _, id := range sortedRouters(k.routers) {
		for _, c := range sortedClaims(k.routers[id].waiting) {
			if c.Content != content {
				continue
			}
			switch n := k.deaths(c); {
			case n >= k.o.MaxDeaths:
				k.drop(c)
				k.refuse(c.key, wire.RefusedQuarantine, 0)
			case n > 0:
				k.order.Isolate(c.entry)
			}
		}
	}
}

// checkEmptied gives up on an upstream that left or died while it was emptied: it would
// never be probed, since it gets no work.
func (k *Keeper) checkEmptied(now time.Time) {
	if k.emptied != nil && !k.emptied.healthy(now) {
		k.emptied, k.emptiedFor = nil, nil
	}
}
