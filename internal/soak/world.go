package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
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

	history *history
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

// replace starts a new life of upstream index and gives the old one.
func (w *world) replace(index int) (old *upstream, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	old = w.upstreams[index]
	next, err := newUpstream(index, w.lives, old.service, &w.ports)
	if err != nil {
		return nil, errors.Trace(err)
	}
	w.upstreams[index] = next
	w.left = append(w.left, old)
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

// runs gives what upstreams ran, by request.
func (w *world) runs() map[string][]ran {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string][]ran)
	for _, u := range append(append([]*upstream(nil), w.upstreams...), w.left...) {
		for _, run := range u.engine.List() {
			all[run.ID] = append(all[run.ID], ran{Run: run, upstream: u})
		}
	}
	return all
}

// turnedAway reports whether an upstream was too full for a request.
func (w *world) turnedAway(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(append(append([]*upstream(nil), w.upstreams...), w.left...),
		func(u *upstream) bool { return u.engine.TurnedAway(id) })
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

// history keeps the declared configurations.
type history struct {
	store *platformtest.Store

	mu   sync.Mutex
	list []declared
	// leave is when upstreams were told to be leaving.
	leave map[string]time.Time
	// overwritten are the times in which entries of upstreams were another writer's.
	overwritten map[string][]span
}

// span is a time; to is zero while it lasts.
type span struct{ from, to time.Time }

// declared is a configuration from the moment at which it was acknowledged.
type declared struct {
	platformtest.Declaration
	at time.Time
}

func newHistory(s *platformtest.Store) *history {
	return &history{store: s, leave: make(map[string]time.Time), overwritten: make(map[string][]span)}
}

// organisations of a run; each has a key that is never taken away.
const organisations = 3

// declare writes the newest configuration with a change. Versions grow in uneven steps.
func (h *history) declare(change func(*platformtest.Declaration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := platformtest.Declaration{Version: 1, Service: mainService, Moved: otherService, Keys: make(map[string]string)}
	if n := len(h.list); n > 0 {
		next = h.list[n-1].Declaration
		next.Version += 1 + n%3
		next.Keys = maps.Clone(next.Keys)
	} else {
		for i := range organisations {
			next.Keys[lastingKey(i)] = organisation(i)
		}
	}
	change(&next)
	h.store.Declare(next)
	h.list = append(h.list, declared{Declaration: next, at: time.Now()})
}

func organisation(i int) string { return fmt.Sprintf("org-%d", i) }

func lastingKey(i int) string { return fmt.Sprintf("key-%d", i) }

// passingKey is given to the first organisation and taken away again.
const passingKey = "key-passing"

// inForce gives the configurations that may be in force for a request that was sent at
// from and ran before to.
func (h *history) inForce(from, to time.Time) []declared {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []declared
	for i, d := range h.list {
		replaced := i+1 < len(h.list) && h.list[i+1].at.Add(inForce+late).Before(from)
		if !replaced && d.at.Before(to) {
			list = append(list, d)
		}
	}
	return list
}

// overwrite notes that an upstream's entry is another writer's from now on.
func (h *history) overwrite(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overwritten[id] = append(h.overwritten[id], span{from: time.Now()})
}

// named notes that an upstream's entry is about to be its own.
func (h *history) named(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.overwritten[id] {
		if s := &h.overwritten[id][i]; s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// unnamed reports whether no entry named an upstream at a time, nor for as long before as a
// change needs to be in force.
func (h *history) unnamed(id string, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.overwritten[id], func(s span) bool {
		return at.After(s.from.Add(inForce+late)) && (s.to.IsZero() || at.Before(s.to))
	})
}

// leaving notes that an upstream was told to be leaving.
func (h *history) leaving(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leave[id] = time.Now()
}

// leftAt is when an upstream was told to be leaving; zero when it was not.
func (h *history) leftAt(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leave[id]
}
