package order

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// fakeEngine follows orders as engines do: some check the fencing number.
type fakeEngine struct {
	checks  bool
	loading time.Duration // from following an order to the new state

	mu       sync.Mutex
	state    State
	fence    uint64
	sent     []Command
	beforeOK func(Command)       // runs before the check of the lease, "connecting"
	afterOK  func(Command) error // runs between that check and the engine, "network"
}

func (e *fakeEngine) State(context.Context, string) (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *fakeEngine) Send(ctx context.Context, _ string, c Command, valid func() bool) error {
	e.mu.Lock()
	before, after := e.beforeOK, e.afterOK
	e.mu.Unlock()
	if before != nil {
		before(c)
	}
	if !valid() {
		return ErrLapsed
	}
	if after != nil {
		if err := after(c); err != nil {
			return err
		}
	}
	return e.follow(c)
}

func (e *fakeEngine) follow(c Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && c.Fence < e.fence {
		return ErrOldFence
	}
	e.fence = max(e.fence, c.Fence)
	e.sent = append(e.sent, c)
	if e.loading == 0 {
		e.state = State{Model: c.Model, Role: c.Role}
		return nil
	}
	time.AfterFunc(e.loading, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state = State{Model: c.Model, Role: c.Role}
	})
	return nil
}

func (e *fakeEngine) model() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Model
}

func (e *fakeEngine) orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sent)
}

// fakeWeights refuses while its budget is used up.
type fakeWeights struct {
	mu    sync.Mutex
	every time.Duration // one grant each; 0 grants always
	takes time.Duration // until the answer
	next  time.Time
	asked int
}

func (w *fakeWeights) Open(context.Context, string) error {
	<-time.After(w.takes)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	if time.Now().Before(w.next) {
		return platform.ErrRefused
	}
	w.next = time.Now().Add(w.every)
	return nil
}

// pausingTable pauses its caller after each read.
type pausingTable struct {
	platform.Table
	pause func()
}

func (p *pausingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := p.Table.Get(ctx, key)
	p.pause()
	return row, err
}

// fixedRank is the same for all upstreams.
type fixedRank int

func (r fixedRank) Rank(string) (int, bool) { return int(r), true }

// fleet is one engine, one table and any number of routers.
type fleet struct {
	table   *platformtest.Table
	engine  *fakeEngine
	weights *fakeWeights
}

func newFleet(checks bool) *fleet {
	return &fleet{table: new(platformtest.Table), engine: &fakeEngine{checks: checks}, weights: new(fakeWeights)}
}

func declared(version uint64, model string, checks bool) func() *resource.Snapshot {
	s := &resource.Snapshot{
		Version:   version,
		Upstreams: []resource.Upstream{{Meta: resource.Meta{Name: "e1"}, URL: "http://127.0.0.1:1", ChecksFence: checks}},
		Orders:    []resource.Order{{Meta: resource.Meta{Name: "o1"}, Upstream: "e1", Model: model}},
	}
	return func() *resource.Snapshot { return s }
}

// router runs a Reconciler until the test or stop ends it.
func (f *fleet) router(t *testing.T, rank int, version uint64, model string) (stop func()) {
	r := NewReconciler(f.table, f.weights, f.engine, fixedRank(rank), declared(version, model, f.engine.checks), Options{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}
