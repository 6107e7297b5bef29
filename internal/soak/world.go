package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// world is everything that runs.
type world struct {
	options Options
	journal *journal
	store   *platformtest.Store
	ports   devfleet.Ports
	routers []*router
	// byEntry finds a router by the address that callers are told.
	byEntry map[string]*router

	mu        sync.Mutex
	upstreams []*upstream
	// left are upstreams that have been replaced.
	left  []*upstream
	lives int
	// releases counts the releases of software versions.
	releases int

	history *history
	// behind is the router that is out of step as a version joins; nil before.
	behind atomic.Pointer[router]
	// crashes are the upstreams that have crashed and are coming back.
	crashes sync.WaitGroup
}

func newWorld(o Options) (*world, error) {
	w := &world{options: o, journal: new(journal), store: platformtest.NewStore(), byEntry: make(map[string]*router)}
	w.history = newHistory(w.store)
	w.history.declare(func(*platformtest.Declaration) {})
	for i := range o.Upstreams + others {
		service := mainService
		if i >= o.Upstreams {
			service = otherService
		}
		u, err := newUpstream(i, 0, service, &w.ports)
		if err != nil {
			return nil, errors.Trace(err)
		}
		u.engine.Behave(o.usual())
		u.engine.OnCrash = func() { w.crashed(u) }
		w.upstreams = append(w.upstreams, u)
		w.store.List(u.engine, service, u.relay.Addr(), false)
	}
	for i := range o.Routers {
		r, err := newRouter(o, i, fmt.Sprintf("router-%02d", i+1), &w.ports, w.store.Addr())
		if err != nil {
			return nil, errors.Trace(err)
		}
		w.routers = append(w.routers, r)
		w.byEntry[r.callers.Addr()] = r
	}
	return w, nil
}

// seeds are the addresses that a starting router is told.
const seeds = 3

func (w *world) start(ctx context.Context) error {
	var known []string
	for _, r := range w.routers[:min(seeds, len(w.routers))] {
		known = append(known, r.peers.Addr())
	}
	for _, r := range w.routers {
		if err := r.start(w.options, known); err != nil {
			return errors.Trace(err)
		}
	}
	return w.ready(ctx)
}

// pollEvery is the pause between two looks at a starting router.
const pollEvery = 20 * time.Millisecond

func (w *world) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	pace := rate.NewLimiter(rate.Every(pollEvery), 1)
	for _, r := range w.routers {
		for !isReady(r.settings.Listen.Readiness) {
			if pace.Wait(ctx) != nil {
				return errors.Errorf("%s isn't ready in time", r.settings.Router.Name)
			}
		}
	}
	return nil
}

func isReady(addr string) bool {
	resp, err := http.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// upstream gives the present life of upstream index.
func (w *world) upstream(index int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[index]
}

// replace starts a new life of upstream index, of the given software version or of the same one where
// that is empty, and gives the old life.
func (w *world) replace(index int, software string) (old *upstream, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	old = w.upstreams[index]
	next, err := newUpstream(index, w.lives, old.service, &w.ports)
	if err != nil {
		return nil, errors.Trace(err)
	}
	next.engine.Behave(w.options.usual())
	next.engine.OnCrash = func() { w.crashed(next) }
	next.engine.Software = cmp.Or(software, old.engine.Software)
	w.upstreams[index] = next
	w.left = append(w.left, old)
	w.cool(next)
	w.store.List(next.engine, next.service, next.relay.Addr(), false)
	return old, nil
}

// relist writes the entry of an upstream anew, unless it has been replaced.
func (w *world) relist(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.upstreams[u.index] == u {
		w.history.named(u.engine.ID)
		w.store.List(u.engine, u.service, u.relay.Addr(), false)
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.store.Refuse(0)
	w.store.LoseAnswers(false)
	for _, r := range w.routers {
		r.heal()
		_ = r.process.Resume() // one that has ended is started below
		r.restart()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.upstreams {
		u.engine.Behave(sound)
		u.relay.SetDelay(0)
		u.relay.Heal()
	}
}

// everyLife gives all lives of all upstreams.
func (w *world) everyLife() []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Concat(w.upstreams, w.left)
}

// runs gives what upstreams ran, by request.
func (w *world) runs() map[string][]ran {
	all := make(map[string][]ran)
	for _, u := range w.everyLife() {
		for _, run := range u.engine.List() {
			all[run.ID] = append(all[run.ID], ran{Run: run, upstream: u})
		}
	}
	return all
}

// turnedAway reports whether an upstream was too full for a request.
func (w *world) turnedAway(id string) bool {
	return slices.ContainsFunc(w.everyLife(), func(u *upstream) bool { return u.engine.TurnedAway(id) })
}

// ran is a run with the upstream that ran it.
type ran struct {
	platformtest.Run
	upstream *upstream
}

func (w *world) close() {
	for _, r := range w.routers {
		r.ending.Store(true)
		if r.process != nil {
			_ = r.process.Kill() // it may have ended
		}
	}
	for _, r := range w.routers {
		r.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range append(w.upstreams, w.left...) {
		u.close()
	}
	w.store.CloseClientConnections()
	w.store.Close()
	w.ports.Close()
}
