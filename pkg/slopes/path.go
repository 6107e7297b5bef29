package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Path measures the way of a request's claim, grant, reports and end between two
// routers.
type Path struct {
	Rates    []float64
	Coalesce []time.Duration
	// Running are numbers of slots that run at the accepting router.
	Running []int
	// Orgs are numbers of organisations that the accepting router has served.
	Orgs   []int
	Window time.Duration
	Warm   time.Duration
}

const (
	perRequest = "requests/s"
	perRunning = "running slots"
	perServed  = "organisations served, 4 cells, 64 running slots"
	holdShort  = 100 * time.Millisecond
)

// run measures free cells, backlogged ones, own ones, and running work.
func (p Path) run(ctx context.Context, dir string, r *Report) error {
	for _, coalesce := range p.Coalesce {
		name := fmt.Sprintf("path/free-%v", coalesce)
		for _, rate := range p.Rates {
			if err := p.free(ctx, dir, r, name, rate, other, coalesce); err != nil {
				return err
			}
		}
	}
	for _, rate := range p.Rates {
		if err := p.backlogged(ctx, dir, r, rate); err != nil {
			return err
		}
		if err := p.free(ctx, dir, r, "path/own-cell", rate, accepting, time.Millisecond); err != nil {
			return err
		}
	}
	for _, slots := range p.Running {
		if err := p.running(ctx, dir, r, slots); err != nil {
			return err
		}
	}
	for _, orgs := range p.Orgs {
		if err := p.organisations(ctx, dir, r, orgs); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// free is a cell with room: each claim is granted at once.
func (p Path) free(ctx context.Context, dir string, r *Report, name string, rate float64, keptBy wire.RouterID, coalesce time.Duration) error {
	return p.with(ctx, dir, cells(1, 32, 32), keptBy, coalesce, func(ctx context.Context, l *load, pr *pair) {
		l.group.Go(func() { l.open(ctx, rate) })
		p.record(ctx, r, name, l, pr)
	})
}

// backlogged is a cell in which eight times as many claims wait as run.
func (p Path) backlogged(ctx context.Context, dir string, r *Report, rate float64) error {
	slots := max(1, int(rate*holdShort.Seconds()))
	return p.with(ctx, dir, cells(1, 1, slots), other, time.Millisecond, func(ctx context.Context, l *load, pr *pair) {
		l.closed(ctx, 9*slots)
		p.record(ctx, r, "path/backlog-1ms", l, pr)
	})
}

func (p Path) with(ctx context.Context, dir string, index *resource.Index, keptBy wire.RouterID, coalesce time.Duration, f func(context.Context, *load, *pair)) error {
	pr, err := startPair(ctx, dir, index, keptBy, coalesce)
	if err != nil {
		return err
	}
	defer pr.close()
	ctx, stop := context.WithCancel(ctx)
	l := &load{scheduler: pr.claimant, hold: holdShort, orgs: someOrgs, pools: 1}
	f(ctx, l, pr)
	stop()
	l.group.Wait()
	return nil
}

// record measures one window against the rate that was served in it.
func (p Path) record(ctx context.Context, r *Report, name string, l *load, pr *pair) {
	wait(ctx, p.Warm)
	before := l.served.Load()
	c := over(ctx, p.Window, pr.accept, pr.keep)
	x := float64(l.served.Load()-before) / c.seconds
	p.add(r, name, perRequest, x, c)
}

// add enters what the accepting router and the keeper sent, which is what the other
// received, and the processor time of both.
func (p Path) add(r *Report, name, per string, x float64, c cost) {
	router, keeper := c.traffic[0], c.traffic[1]
	r.add(name+"/router-bytes-sent", per, "bytes/s", Point{x, float64(router.BytesSent) / c.seconds})
	r.add(name+"/keeper-bytes-sent", per, "bytes/s", Point{x, float64(keeper.BytesSent) / c.seconds})
	r.add(name+"/router-packets-sent", per, "packets/s", Point{x, float64(router.PacketsSent) / c.seconds})
	r.add(name+"/keeper-packets-sent", per, "packets/s", Point{x, float64(keeper.PacketsSent) / c.seconds})
	r.add(name+"/cpu", per, "us/s, both routers", Point{x, micros(c.cpu) / c.seconds})
}

// running holds a number of slots with tokens arriving and takes no new requests.
func (p Path) running(ctx context.Context, dir string, r *Report, slots int) error {
	return p.with(ctx, dir, cells(1, 32, 32), other, time.Millisecond, func(ctx context.Context, l *load, pr *pair) {
		l.run(ctx, slots)
		wait(ctx, p.Warm+p.Window/2)
		p.add(r, "path/running", perRunning, float64(l.served.Load()), over(ctx, p.Window, pr.accept, pr.keep))
	})
}

// organisations has a number of organisations served once, then 64 slots running in four
// pools of one cell: each cell's reports carry what was delivered elsewhere.
func (p Path) organisations(ctx context.Context, dir string, r *Report, orgs int) error {
	const pools, upstreams, slots = 4, 96, 64
	return p.with(ctx, dir, cells(pools, upstreams, 32), other, time.Millisecond, func(ctx context.Context, l *load, pr *pair) {
		l.orgs, l.pools = orgs, pools
		l.serve(ctx)
		l.run(ctx, slots)
		wait(ctx, p.Warm)
		p.add(r, "path/organisations", perServed, float64(orgs), over(ctx, 4*p.Window, pr.accept, pr.keep))
	})
}
