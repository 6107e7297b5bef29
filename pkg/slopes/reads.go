package slopes

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Reads counts the reads of the head row by a whole fleet on a virtual clock, with
// and without the pollers' word reaching the others.
type Reads struct {
	Fleets []int
	Length time.Duration
}

// Settings of the pollers: the daemons' defaults.
const (
	poll          = time.Second
	confirmWithin = 5 * time.Second
	step          = 125 * time.Millisecond
)

// countedTable counts reads.
type countedTable struct {
	platform.Table
	reads atomic.Int64
}

// Get implements platform.Table.
func (t *countedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	t.reads.Add(1)
	return t.Table.Get(ctx, key)
}

// seeded puts a small configuration into a fresh table.
func seeded(t *countedTable) (*config.Store, *resource.Snapshot, error) {
	t.Table = new(platformtest.Table)
	store := config.NewStore(t, config.StoreOptions{})
	var c config.Change
	c.OpID = "seed"
	for _, r := range snapshot(0.01).All() {
		c.Ops = append(c.Ops, resource.Op{Ref: resource.RefOf(r), Put: resource.WithVersion(r, 0)})
	}
	result, err := store.Write(context.Background(), c)
	if err != nil {
		return nil, nil, err
	}
	return store, result.Snapshot, nil
}

// ranked is a poller's rank: the first config.Pollers are chosen.
type ranked int

// Among implements config.Ranker.
func (r ranked) Among(_ string, n int) bool { return int(r) < n }

func (p Reads) run(ctx context.Context, r *Report) error {
	for _, n := range p.Fleets {
		for name, cut := range map[string]bool{"config/head-reads": false, "config/head-reads-cut": true} {
			reads, err := p.fleet(ctx, n, cut)
			if err != nil {
				return err
			}
			r.add(name, perMember, "reads/s of the fleet", Point{float64(n), reads})
		}
	}
	return nil
}

// fleet counts for n routers; when cut, no router hears another one.
func (p Reads) fleet(ctx context.Context, n int, cut bool) (float64, error) {
	table := new(countedTable)
	store, s, err := seeded(table)
	if err != nil {
		return 0, err
	}
	lives := make([]*config.Live, n)
	pollers := make([]*config.Poller, n)
	now := time.Now()
	for i := range n {
		lives[i] = config.NewLive(config.LiveOptions{ConfirmWithin: confirmWithin})
		if err := lives[i].Adopt(now, s); err != nil {
			return 0, err
		}
		pollers[i] = config.NewPoller(store, lives[i], ranked(i), config.PollerOptions{
			Poll: poll, ConfirmWithin: confirmWithin, Random: rand.New(rand.NewPCG(uint64(i), 0)), Log: silent(),
		})
	}
	for end := now.Add(p.Length); now.Before(end) && ctx.Err() == nil; now = now.Add(step) {
		for i := range n {
			if !cut || i < config.Pollers {
				lives[i].Confirm(now, s.Version)
			}
			pollers[i].Step(ctx, now)
		}
	}
	return float64(table.reads.Load()) / p.Length.Seconds(), nil
}
