package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

const (
	// joinGap is the pause between two upstreams of the version that joins, breakEvery that between two breaks of all
	// streams at its upstreams.
	joinGap    = 60 * time.Millisecond
	breakEvery = 200 * time.Millisecond
	// leastOut and mostOut bound how long the router is out of step.
	leastOut = 400 * time.Millisecond
	mostOut  = 8 * time.Second
	// joinWithin bounds how much later than that the version joins.
	joinWithin = 1500 * time.Millisecond
	// downFor is how long a router that is started again meanwhile is down.
	downFor = 50 * time.Millisecond
)

// planOutOfStep lets one router stand still, or be cut off, while half of the upstreams are replaced by another
// version. There is one release in a run: once a service has had two versions, no router takes one for the
// sole one for a while.
func planOutOfStep(o Options) []fault {
	random := rand.New(rand.NewPCG(o.Seed, 10))
	f := fault{kind: "out_of_step", index: random.IntN(o.Routers), at: time.Second + time.Duration(random.Int64N(int64(time.Second)))}
	f.lasts = leastOut + time.Duration(random.Int64N(int64(mostOut-leastOut)))
	return []fault{f}
}

var ofOutOfStep = map[string]action{"out_of_step": outOfStep}

func outOfStep(ctx context.Context, w *world, f fault) {
	random := rand.New(rand.NewPCG(w.options.Seed, 11))
	wait := time.Duration(random.Int64N(int64(joinWithin)))
	harm := pauseRouter
	if random.IntN(2) == 0 {
		harm = cutOff
	}
	w.behind.Store(w.routers[f.index])
	var all sync.WaitGroup
	all.Go(func() { harm(ctx, w, f) })
	if other := f; random.IntN(2) == 0 {
		other.index, other.lasts = (f.index+1)%len(w.routers), downFor
		all.Go(func() {
			waiting.For(ctx, wait/2)
			kill(ctx, w, other)
		})
	}
	waiting.For(ctx, wait)
	version, order := w.nextRelease()
	for _, index := range order[:(w.options.Upstreams+1)/2] {
		all.Go(func() { w.retire(ctx, index, f.lasts, version) })
		waiting.For(ctx, joinGap)
	}
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < f.lasts; waiting.For(ctx, breakEvery) {
		w.breakStreams(version)
	}
	all.Wait()
}

// cutOff cuts a router off from the store and all routers off from each other: each asks the others over their
// links.
func cutOff(ctx context.Context, w *world, f fault) {
	defer w.journal.begin(partStore, f.index)()
	defer w.journal.begin(partPeers, everywhere)()
	w.routers[f.index].store.Cut()
	w.cutPeers()
	waiting.For(ctx, f.lasts)
	w.healPeers()
	w.routers[f.index].store.Heal()
}

// breakStreams breaks all streams at the upstreams of a version.
func (w *world) breakStreams(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.upstreams {
		if u.engine.Software == version {
			end := w.journal.begin(partUpstream, u.index)
			u.relay.Reset()
			end()
		}
	}
}

// behindOr returns the address of the router that is out of step, for half of the streams that are resumed, or one of
// those that callers were told: callers reach that router all the while.
func (w *world) behindOr(entries []string, random *rand.Rand) string {
	if r := w.behind.Load(); r != nil && random.IntN(2) == 0 {
		return r.callers.Addr()
	}
	return entries[random.IntN(len(entries))]
}
