package slopes

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A request's service in tokens, and the time to a first and between tokens.
const (
	requestTokens = 246
	firstToken    = 300 * time.Millisecond
	betweenTokens = 40 * time.Millisecond
)

// load sends requests through a claimant. Each holds its slot for hold.
type load struct {
	scheduler sched.Scheduler
	hold      time.Duration
	orgs      int // organisations that the requests come from, in turn
	pools     int // pools that they go to, in turn
	served    atomic.Int64
	group     sync.WaitGroup
}

func (l *load) request(i int) sched.Request {
	return sched.Request{
		Org: orgName(i % l.orgs), Class: wire.ClassNormal, Pool: poolName(i % l.pools),
		PrefixHash: rand.Uint64(), ContentHash: rand.Uint64(),
		Deadline: time.Now().Add(time.Minute),
	}
}

// open starts rate requests a second until ctx ends, whatever becomes of them.
func (l *load) open(ctx context.Context, rate float64) {
	ticks := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticks.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			l.group.Go(func() { l.one(ctx, i) })
		}
	}
}

// closed keeps a number of callers that each ask again as soon as they were served.
func (l *load) closed(ctx context.Context, callers int) {
	for i := range callers {
		l.group.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				l.one(ctx, n)
			}
		})
	}
}

func (l *load) one(ctx context.Context, i int) {
	slot, err := l.scheduler.Acquire(ctx, l.request(i))
	if err != nil {
		return
	}
	if !slot.Start() {
		slot.Done(wire.OutcomeUnused, 0, 0, 0)
		return
	}
	wait(ctx, l.hold)
	slot.Done(wire.OutcomeServed, requestTokens, firstToken, betweenTokens)
	l.served.Add(1)
}

// serve has one request of each organisation served.
func (l *load) serve(ctx context.Context) {
	var group sync.WaitGroup
	for i := range l.orgs {
		group.Go(func() { l.one(ctx, i) })
	}
	group.Wait()
}

// run takes slots and keeps them running, with tokens arriving, until ctx ends.
func (l *load) run(ctx context.Context, slots int) {
	for i := range slots {
		l.group.Go(func() { l.stream(ctx, i) })
	}
}

func (l *load) stream(ctx context.Context, i int) {
	slot, err := l.scheduler.Acquire(ctx, l.request(i))
	if err != nil || !slot.Start() {
		return
	}
	l.served.Add(1)
	ticks := time.NewTicker(betweenTokens)
	defer ticks.Stop()
	for tokens := 1; ctx.Err() == nil; tokens++ {
		slot.Progress(float64(tokens))
		select {
		case <-ctx.Done():
		case <-ticks.C:
		}
	}
}
