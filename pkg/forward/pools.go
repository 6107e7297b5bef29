package forward

import (
	"context"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/traffic"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// sweepEvery is the pause between two looks for idle connections past their time.
const sweepEvery = time.Second

// poolKey is whom a pool's connections lead to. The address alone passes to another upstream,
// and the ID alone to a new life of it; their connections are others. An entry's address may
// be corrected without a new life.
type poolKey struct {
	life upstream.Life
	addr string
}

func keyOf(in *upstream.Instance) poolKey { return poolKey{life: in.Life(), addr: in.Addr} }

// lists reports whether set has the upstream to which a pool's connections lead.
func lists(set *upstream.Set, key poolKey) bool {
	return set.Lives(key.life) && set.Get(key.life.ID).Addr == key.addr
}

// stays reports whether set has that upstream, and it isn't about to end.
func stays(set *upstream.Set, key poolKey) bool {
	return lists(set, key) && set.Get(key.life.ID).State == upstream.Ready
}

// Pools keeps the connections to all instances.
type Pools struct {
	// idHeader is the header in which an answer names its request.
	idHeader string
	// meter counts what the connections carry.
	meter traffic.Meter

	mu    sync.Mutex
	pools map[poolKey]*pool
	// list is the newest one that Follow took, nil before the first.
	list *upstream.Set
	// unlisted holds, for each life that is no longer listed, until when it surely was.
	unlisted map[poolKey]time.Time
}

// NewPools returns pools for upstreams that name a request in idHeader.
func NewPools(idHeader string) *Pools {
	return &Pools{idHeader: idHeader, pools: make(map[poolKey]*pool), unlisted: make(map[poolKey]time.Time)}
}

// Traffic is what the connections to upstreams carried so far.
func (ps *Pools) Traffic() traffic.Bytes { return ps.meter.Total() }

// of finds or makes the pool of an instance.
func (ps *Pools) of(in *upstream.Instance) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	key := keyOf(in)
	p := ps.pools[key]
	if p == nil {
		p = newPool(in.Addr, &ps.meter)
		p.leaving = in.State == upstream.Draining || ps.list != nil && !stays(ps.list, key)
		ps.pools[key] = p
		if ps.list != nil && !lists(ps.list, key) {
			// A request that was placed by the list before: it is connected after that one
			// was current, so Follow must spare it.
			ps.unlisted[key] = time.Time{}
		}
	}
	return p
}

// Follow takes a new list of instances; known is when the list before it was last known to be
// current.
//
// Guard: a life that ended without a word (its host was cut off, then started again) leaves
// attempts on connections that nobody answers any more; they would hang until the kernel or
// the caller gives up. They are broken off as soon as the list tells of a new life under the
// ID. The list is late: what was connected after it last showed the old life may have reached
// the new one already, and is left alone.
func (ps *Pools) Follow(set *upstream.Set, known time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.list = set
	for key, p := range ps.pools {
		if lists(set, key) {
			delete(ps.unlisted, key)
			p.open(!stays(set, key))
			continue
		}
		if _, ok := ps.unlisted[key]; !ok {
			ps.unlisted[key] = known
		}
		p.close()
		if follows(set.Get(key.life.ID), key.life) {
			p.end(ps.unlisted[key])
		}
	}
}

// follows reports whether present is surely another run of the process than life. An entry
// that doesn't tell its start may describe the same one.
func follows(present *upstream.Instance, life upstream.Life) bool {
	if present == nil || present.State == upstream.Unusable || present.Born == 0 {
		return false
	}
	return present.Life() != life
}

// Run closes idle connections past their time and drops pools that nobody uses, until ctx
// ends; then all.
func (ps *Pools) Run(ctx context.Context, current func() *upstream.Set) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			ps.closeAll()
			return
		case now := <-tick.C:
			ps.sweep(current(), now)
		}
	}
}

func (ps *Pools) closeAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for key, p := range ps.pools {
		p.close()
		delete(ps.pools, key)
	}
}

func (ps *Pools) sweep(set *upstream.Set, now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for key, p := range ps.pools {
		p.sweep(now)
		if lists(set, key) {
			continue
		}
		p.close()
		if p.unused() {
			delete(ps.pools, key)
			delete(ps.unlisted, key)
		}
	}
}
