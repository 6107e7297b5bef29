package keeper

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// chooseIdle returns an idle upstream on which a suspect can run alone. A content that ran
// on an upstream when it crashed may have caused the crash. If it ran beside others, the
// next crash would break unrelated requests. Alone it harms only the upstream, and a crash
// then identifies the content.
//
// Under load no upstream becomes idle by itself. After Options.SuspectDrainDelay a suspect
// whose turn it is gets an upstream drained for it. At most one suspect of the cell runs or
// has an upstream drained at a time, so other requests lose a part of the capacity for a
// short time and keep the other upstreams.
func (p *picker) chooseIdle(c *claim) *upstream {
	k := p.k
	if k.runningAlone() > 0 {
		return nil
	}
	for _, u := range k.declared {
		if u.idle(p.now) && !slices.Contains(c.Exclude, u.name) && (u != k.draining || k.drainingFor == c) {
			return u
		}
	}
	if k.draining == nil && p.now.Sub(c.waitingSince) >= k.options.SuspectDrainDelay {
		k.draining, k.drainingFor = p.leastLoaded(c), c
	}
	return nil
}

func (p *picker) leastLoaded(c *claim) *upstream {
	var best *upstream
	for _, u := range p.k.declared {
		if !u.healthy(p.now) || u.aloneSlots > 0 || slices.Contains(c.Exclude, u.name) {
			continue
		}
		if best == nil || u.running < best.running {
			best = u
		}
	}
	return best
}

// runningAlone returns the number of the cell's suspects that run.
func (k *Keeper) runningAlone() (n int) {
	for _, u := range k.upstreams {
		n += u.aloneSlots
	}
	return n
}

// UpdateSuspect checks the waiting claims of a content again after Options.Crashes has changed
// for it: they are refused, or isolated to run alone.
func (k *Keeper) UpdateSuspect(content uint64) {
	for _, id := range sortedRouters(k.routers) {
		for _, c := range sortedClaims(k.routers[id].waiting) {
			if c.Content != content {
				continue
			}
			switch n := k.crashes(c); {
			case n >= k.options.MaxCrashes:
				k.drop(c)
				k.refuse(c.claimKey, wire.RefusedQuarantine, 0)
			case n > 0:
				k.order.Isolate(c.entry)
			}
		}
	}
}

// checkDraining stops draining an upstream that left or crashed meanwhile: without work it
// would never be probed.
func (k *Keeper) checkDraining(now time.Time) {
	if k.draining != nil && !k.draining.healthy(now) {
		k.draining, k.drainingFor = nil, nil
	}
}
