package forward

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/traffic"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// sweepInterval is the time between two searches for expired idle connections.
const sweepInterval = time.Second

// poolKey identifies the process that a pool's connections lead to. Another upstream may take over
// the address, and the same ID may start a new life. The address of an entry may also be corrected
// within the same life.
type poolKey struct {
	life upstream.Life
	addr string
}

func keyOf(in *upstream.Instance) poolKey { return poolKey{life: in.Life(), addr: in.Addr} }

// isListed reports whether set contains the life at the address of key.
func isListed(set *upstream.Set, key poolKey) bool {
	return set.IsCurrent(key.life) && set.Get(key.life.ID).Addr == key.addr
}

// Pools holds a connection pool for each life of an instance.
type Pools struct {
	// idHeader is the header in which a response carries the ID of its request.
	idHeader string
	// proofHeader is the header by which a successful response proves that its upstream ran the request; empty
	// for none.
	proofHeader string
	// meter counts the bytes on all connections.
	meter traffic.Meter
	// stats counts why connections were opened and closed.
	stats connStats
	// created is the time from which deadlines of idle connections are counted.
	created time.Time
	// maxHead is the size, in bytes, that a response's head may have.
	maxHead atomic.Int64
	// buffers bounds the memory for responses.
	buffers *buffers.Budget
	notices Notices
	// identity asks upstreams which process they are; nil for not at all.
	identity *identityCheck

	mu    sync.Mutex
	pools map[poolKey]*pool
	// byInstance holds the pools of the current list's instances, by their entries.
	byInstance map[*upstream.Instance]*pool
	// current is the newest list that UpdateList was given; nil before the first one.
	current *upstream.Set
	// listedUntil holds, for each life that is no longer listed, a time until which it was
	// certainly listed.
	listedUntil map[poolKey]time.Time
}

// NewPools returns pools for upstreams that echo a request's ID in idHeader.
func NewPools(idHeader string) *Pools {
	ps := &Pools{idHeader: idHeader, created: time.Now(), pools: make(map[poolKey]*pool), byInstance: make(map[*upstream.Instance]*pool), listedUntil: make(map[poolKey]time.Time), buffers: buffers.NewBudget(buffers.DefaultLimit)}
	ps.maxHead.Store(DefaultMaxHead)
	return ps
}

// SetProofHeader sets the header by which a successful (2xx) response proves that its upstream ran the request.
// Without the header, such a response counts as malformed. It must be called before the first call.
func (ps *Pools) SetProofHeader(name string) { ps.proofHeader = name }

// Buffers returns the budget of memory for responses, which callers of Do share.
func (ps *Pools) Buffers() *buffers.Budget { return ps.buffers }

// MaxHead returns the size, in bytes, that a response's head may have.
func (ps *Pools) MaxHead() int64 { return ps.maxHead.Load() }

// SetMaxHead changes it; it may be called while requests are served.
func (ps *Pools) SetMaxHead(bytes int64) { ps.maxHead.Store(bytes) }

// Traffic returns the number of bytes that connections to upstreams have carried.
func (ps *Pools) Traffic() traffic.Bytes { return ps.meter.Total() }

// poolFor returns the pool of an instance and creates it if necessary.
func (ps *Pools) poolFor(in *upstream.Instance) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	key := keyOf(in)
	p := ps.pools[key]
	if p == nil {
		p = newPool(in.Addr, &ps.meter, &ps.stats, ps.created)
		ps.pools[key] = p
		if ps.current != nil && !isListed(ps.current, key) {
			// The request was placed by the previous list and connects after that list was current,
			// so UpdateList must spare it.
			ps.listedUntil[key] = time.Time{}
		}
	}
	ps.byInstance[in] = p
	return p
}

// Probe returns an error if an instance accepts no new connection. The one that it opens is kept for reuse.
func (ps *Pools) Probe(ctx context.Context, in *upstream.Instance) error {
	return ps.poolFor(in).probe(ctx)
}

// UpdateList takes over a new list of instances. lastCurrent is the last time at which the previous
// list was known to be current.
//
// Guard: a process may end without closing its connections, for example if its host is disconnected
// and then restarted. Requests on such connections would hang until the kernel or the caller gives
// up, so they are aborted as soon as the list shows a new life under the ID. The list lags behind:
// a connection that was opened after the list last showed the old life may lead to the new one
// already, and is left open.
func (ps *Pools) UpdateList(set *upstream.Set, lastCurrent time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.current = set
	clear(ps.byInstance)
	for key, p := range ps.pools {
		if isListed(set, key) {
			ps.byInstance[set.Get(key.life.ID)] = p
			delete(ps.listedUntil, key)
			p.enableReuse()
			continue
		}
		if _, ok := ps.listedUntil[key]; !ok {
			ps.listedUntil[key] = lastCurrent
		}
		p.disableReuse()
		if isNewLife(set.Get(key.life.ID), key.life) {
			p.abortOpenedBefore(ps.listedUntil[key])
		}
	}
}

// isNewLife reports whether listed is certainly another life than life. An entry without a start
// time may describe the same one.
func isNewLife(listed *upstream.Instance, life upstream.Life) bool {
	if listed == nil || listed.State == upstream.Unusable || listed.Born == 0 {
		return false
	}
	return listed.Life() != life
}

// Run closes expired idle connections and drops unused pools until ctx ends; then it closes all
// idle connections.
func (ps *Pools) Run(ctx context.Context, current func() *upstream.Set) {
	tick := time.NewTicker(sweepInterval)
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
		p.disableReuse()
		delete(ps.pools, key)
		clear(ps.byInstance)
	}
}

func (ps *Pools) sweep(set *upstream.Set, now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for key, p := range ps.pools {
		p.closeExpired(now)
		if isListed(set, key) {
			continue
		}
		p.disableReuse()
		if p.isEmpty() {
			delete(ps.pools, key)
			delete(ps.listedUntil, key)
			maps.DeleteFunc(ps.byInstance, func(_ *upstream.Instance, of *pool) bool { return of == p })
		}
	}
}
