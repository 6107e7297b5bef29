package devfleet

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/juju/errors"
)

// Programs started from Plan.BinDir.
const (
	routerProgram  = "flamingowindd"
	standinProgram = "flamingowind-standin"
)

// Fleet is a running fleet. Stop ends everything it started.
type Fleet struct {
	Plan     Plan
	Ready    Ready
	Platform *Process
	Routers  []*Router
	// Upstreams are the processes, by the first upstream's name in each.
	Upstreams []*Process
	// Links are the relays before the upstreams by name; empty unless Plan.Relays.
	Links map[string]*TCPRelay

	mu        sync.Mutex // guards Ready once the fleet runs
	authority *Authority
	ports     *Ports
	tokenFile string
}

// Start starts the fleet of plan, seeds its configuration and waits until each
// router has it in force. On an error everything started is stopped.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	f := &Fleet{Plan: plan, ports: new(Ports), Links: make(map[string]*TCPRelay)}
	if err := f.start(ctx); err != nil {
		f.Stop(context.WithoutCancel(ctx))
		return nil, errors.Annotatef(err, "start the fleet (logs in %s)", plan.Dir)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.prepare, f.startPlatform, f.startUpstreams, f.prepareRouters,
		f.publishHosts, f.startRouters, f.seed, f.waitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// prepare makes the authority, the operator token and the organisations' keys.
func (f *Fleet) prepare(context.Context) error {
	if err := os.MkdirAll(f.Plan.Dir, 0o700); err != nil {
		return errors.Annotate(err, "make the fleet's directory")
	}
	authority, err := NewAuthority(f.Plan.Dir)
	if err != nil {
		return err
	}
	f.authority = authority
	f.Ready.Dir, f.Ready.Model, f.Ready.Service = f.Plan.Dir, f.Plan.Model, f.Plan.Service
	f.Ready.OperatorToken = newSecret("operator")
	f.tokenFile = filepath.Join(f.Plan.Dir, "operator.token")
	for _, o := range f.Plan.Organisations {
		f.Ready.Organisations = append(f.Ready.Organisations, OrgInfo{Name: o.Name, Key: newSecret("key"), Weight: o.Weight})
	}
	return writeSecret(f.tokenFile, f.Ready.OperatorToken)
}

// Stop ends all processes, routers first, and the relays.
func (f *Fleet) Stop(ctx context.Context) {
	var routers, rest sync.WaitGroup
	for _, r := range f.Routers {
		if r.Process != nil {
			routers.Go(func() { _ = r.Stop(ctx) })
		}
	}
	routers.Wait()
	for _, p := range f.Upstreams {
		rest.Go(func() { _ = p.Stop(ctx) })
	}
	if f.Platform != nil {
		rest.Go(func() { _ = f.Platform.Stop(ctx) })
	}
	rest.Wait()
	f.closeRelays()
	f.ports.Close()
}

func (f *Fleet) closeRelays() {
	for _, r := range f.Routers {
		if r.Platform != nil {
			r.Platform.Close()
		}
		if r.Peer != nil {
			r.Peer.Close()
		}
	}
	for _, l := range f.Links {
		l.Close()
	}
}

// Restart starts router i again after it ended, and waits until it is ready.
func (f *Fleet) Restart(ctx context.Context, i int) error {
	r := f.Routers[i]
	if err := r.Start(); err != nil {
		return err
	}
	f.noteRestart(i)
	return f.waitRouter(ctx, r)
}

func (f *Fleet) noteRestart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Routers[i].Info.PID = f.Routers[i].PID()
	f.Ready.Routers[i].PID = f.Routers[i].Info.PID
}

// Current returns a copy of Ready with the process IDs of now.
func (f *Fleet) Current() Ready {
	f.mu.Lock()
	defer f.mu.Unlock()
	ready := f.Ready
	ready.Routers = slices.Clone(f.Ready.Routers)
	return ready
}

// Isolate cuts router i off from all peers; its platform and upstreams stay
// reachable. It needs Plan.Relays. A router sends from its own peer address, so the
// others' relays know its datagrams by their source.
func (f *Fleet) Isolate(i int) {
	f.Routers[i].Peer.Cut()
	for _, r := range f.Routers {
		r.Peer.Block(f.Routers[i].Settings.Listen.Peer)
	}
}

// Rejoin ends Isolate.
func (f *Fleet) Rejoin(i int) {
	f.Routers[i].Peer.Heal()
	for _, r := range f.Routers {
		r.Peer.Unblock(f.Routers[i].Settings.Listen.Peer)
	}
}
