package stops

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	service, key = "s", "k"
	// slots is what a worker runs at once.
	slots = 10
)

// idleTimes are the times for which workers keep idle connections; under a second none is stated.
var idleTimes = []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 900 * time.Millisecond, 5 * time.Second, 700 * time.Millisecond}

type world struct {
	options Options
	began   time.Time
	ports   devfleet.Ports
	store   *platformtest.Store
	workers []*platformtest.Worker
	routers []*router
	traffic *traffic
	// busy ends when callers begin no more requests.
	busy         context.Context
	endedAtStart atomic.Int64
	killed       atomic.Int64
	stalls       stalls

	mu      sync.Mutex
	notes   []string
	version int
}

// Run plays one seed. An error means that the run could not be played.
func Run(ctx context.Context, o Options) (Verdict, error) {
	w, err := open(o)
	if err != nil {
		return Verdict{}, errors.Trace(err)
	}
	defer w.close()
	w.play(ctx)
	return w.check(), nil
}

// open starts a world, which the caller closes.
func open(o Options) (*world, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, errors.Trace(err)
	}
	w := &world{options: o, began: time.Now(), store: platformtest.NewStore()}
	if err := w.start(); err != nil {
		w.close()
		return nil, errors.Trace(err)
	}
	w.traffic = &traffic{routers: w.routers}
	return w, nil
}

func (w *world) start() error {
	w.declareOnce()
	for i := range w.options.workers() {
		e, err := platformtest.NewWorker(fmt.Sprintf("i-%d", i), slots, idleTimes[i%len(idleTimes)])
		if err != nil {
			return errors.Trace(err)
		}
		w.workers = append(w.workers, e)
		w.store.Put("servers", e.ID, e.Row(service))
	}
	seed := ""
	for i := range w.options.Routers {
		r, err := newRouter(w.options, fmt.Sprintf("router-%02d", i+1), w.store.Addr(), seed, &w.ports)
		if err != nil {
			return errors.Trace(err)
		}
		if seed == "" {
			seed = r.peers
		}
		w.routers = append(w.routers, r)
		if err := r.start(w.options); err != nil {
			return errors.Trace(err)
		}
	}
	for _, r := range w.routers {
		if !w.awaitReady(r) {
			return errors.Errorf("%s isn't ready in time", r.name)
		}
		r.setUp(true)
	}
	return nil
}

// play keeps callers busy while the planned work is done.
func (w *world) play(ctx context.Context) {
	busy, rest := context.WithCancel(ctx)
	w.busy = busy
	defer rest()
	watched, unwatch := context.WithCancel(ctx)
	defer unwatch()
	go w.stalls.watch(watched)
	var callers, operators sync.WaitGroup
	for i := range w.options.Callers * w.options.Routers {
		callers.Go(func() { w.traffic.caller(busy, rand.New(rand.NewPCG(w.options.Seed, uint64(i)))) })
	}
	planned, end := context.WithTimeout(ctx, w.options.Length)
	defer end()
	for i, r := range w.routers {
		operators.Go(func() { w.operate(planned, r, rand.New(rand.NewPCG(w.options.Seed, uint64(1_000_000+i)))) })
	}
	operators.Wait()
	rest()
	callers.Wait()
}

func (w *world) declareOnce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.version%3
	d := platformtest.Declaration{Version: w.version, Service: service, Moved: service, Keys: map[string]string{key: "org"}, Timeout: routeTimeout}
	if w.version%2 == 0 {
		d.Keys["other"] = "other"
	}
	w.store.Declare(d)
}

// declare writes configurations in a row.
func (w *world) declare(ctx context.Context, n int, every time.Duration) {
	for range n {
		w.declareOnce()
		waiting.For(ctx, every)
	}
}

func (w *world) close() {
	for _, r := range w.routers {
		if r.process != nil {
			_ = r.process.Kill() // it may have ended
		}
	}
	for _, e := range w.workers {
		e.Close()
	}
	w.store.CloseClientConnections()
	w.store.Close()
	w.ports.Close()
}
