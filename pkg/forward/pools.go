package forward

import (
	"context"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// sweepEvery is the pause between two looks for idle connections past their time.
const sweepEvery = time.Second

// Pools keeps the connections to all instances.
type Pools struct {
	// idHeader is the header in which an answer names its request.
	idHeader string

	mu    sync.Mutex
	pools map[upstream.ID]*pool
}

// NewPools returns pools for upstreams that name a request in idHeader.
func NewPools(idHeader string) *Pools {
	return &Pools{idHeader: idHeader, pools: make(map[upstream.ID]*pool)}
}

// of finds or makes the pool of an instance. Its id is the key and not its address:
// an address passes to another upstream, whose connections are others.
func (ps *Pools) of(in *upstream.Instance) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.pools[in.ID]
	if p == nil {
		p = &pool{addr: in.Addr}
		ps.pools[in.ID] = p
	}
	return p
}

// Run closes idle connections past their time and those of instances that current no
// longer has, until ctx ends; then all.
func (ps *Pools) Run(ctx context.Context, current func() *upstream.Set) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			ps.drop(func(upstream.ID) bool { return true })
			return
		case now := <-tick.C:
			set := current()
			ps.drop(func(id upstream.ID) bool { return set.Get(id) == nil })
			ps.sweep(now)
		}
	}
}

func (ps *Pools) drop(gone func(upstream.ID) bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, p := range ps.pools {
		if gone(id) {
			p.close()
			delete(ps.pools, id)
		}
	}
}

func (ps *Pools) sweep(now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.pools {
		p.sweep(now)
	}
}
