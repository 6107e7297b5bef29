package slopes

import (
	"context"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/claimant"
	"github.com/flamingowind/flamingowind/pkg/keeper"
	"github.com/flamingowind/flamingowind/pkg/keeping"
	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// The two routers of a pair. Only accepting takes requests; either may keep the cell.
const (
	accepting wire.RouterID = "router-000"
	other     wire.RouterID = "router-001"
)

// pair is two routers with claimant and keeping over a real connection.
type pair struct {
	nodes    *nodes
	claimant *claimant.Claimant // of accepting
	accept   *peer.Transport
	keep     *peer.Transport
	stop     context.CancelFunc
	group    sync.WaitGroup
}

// startPair starts both; keptBy names the router that keeps the only cell.
func startPair(ctx context.Context, dir string, index *resource.Index, keptBy wire.RouterID, coalesce time.Duration) (*pair, error) {
	n, err := newNodes(dir)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	p := &pair{nodes: n, stop: stop}
	p.accept, p.claimant, err = p.start(ctx, index, accepting, keptBy, coalesce)
	if err == nil {
		p.keep, _, err = p.start(ctx, index, other, keptBy, coalesce)
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *pair) start(ctx context.Context, index *resource.Index, self, keptBy wire.RouterID, coalesce time.Duration) (*peer.Transport, *claimant.Claimant, error) {
	late := new(lateHandler)
	t, err := p.nodes.add(self, coalesce, late)
	if err != nil {
		return nil, nil, err
	}
	w := &world{index: index, keeper: keptBy, self: self, alive: []wire.RouterID{accepting}}
	c := claimant.New(w, lifeSender{t}, claimant.Options{Self: self, Incarnation: 1, MaxQueued: 1 << 16, MaxQueuedPerOrg: func(string) int { return 1 << 16 }})
	d := keeping.New(w, lifeSender{t}, keeping.Options{Keeper: keeper.Options{}, Log: silent()})
	late.set(router{c, d})
	p.group.Go(func() { c.Run(ctx) })
	p.group.Go(func() { d.Run(ctx) })
	return t, c, nil
}

func (p *pair) close() {
	p.stop()
	p.group.Wait()
	p.nodes.close()
}

// lifeSender stamps frames with the sender's life, as the daemon does.
type lifeSender struct{ t *peer.Transport }

// Send implements claimant.Sender and keeping.Sender.
func (s lifeSender) Send(to wire.RouterID, add func(*wire.Frame)) {
	s.t.Send(to, func(f *wire.Frame) {
		f.Life = 1_790_000_000_000
		add(f)
	})
}

// router hands a frame's messages to claimant and keeping.
type router struct {
	claimant *claimant.Claimant
	keeping  *keeping.Manager
}

// HandleFrame implements peer.Handler.
func (r router) HandleFrame(from wire.RouterID, f *wire.Frame) {
	r.keeping.HandleFrame(from, f)
	for _, g := range f.Grants {
		r.claimant.HandleGrant(from, g)
	}
	for _, x := range f.Refusals {
		r.claimant.HandleRefusal(from, x)
	}
	for _, s := range f.States {
		r.claimant.HandleState(from, s)
	}
}
