// Package engine is a stand-in for a model engine: continuous batching, a prefix cache
// in limited memory, streams that can be resumed and cancelled, orders with fencing
// numbers, and failures that can be switched on. It knows no priorities.
package engine

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
)

// Errors of submit; in all cases the request didn't run.
const (
	errDuplicate = errors.ConstError("attempt is known already")
	errFull      = errors.ConstError("too many requests wait")
	errDown      = errors.ConstError("engine is down")
)

// Engine is one model engine. Run must be going for requests to advance.
type Engine struct {
	options Options
	journal journal.Journal
	wakeup  chan struct{}

	mu        sync.Mutex
	faults    Faults
	faultsSet chan struct{} // closed when the faults are replaced
	attempts  map[string]*attempt
	waiting   []*attempt
	running   []*attempt
	kept      []*attempt // ended, oldest first
	cache     *prefixCache
	events    cacheEvents
	orders    orders
	load      loadReport
	tokens    uint64
	downUntil time.Time
}

// New returns an idle engine.
func New(options Options) *Engine {
	e := &Engine{
		options:   options.withDefaults(),
		wakeup:    make(chan struct{}, 1),
		attempts:  make(map[string]*attempt),
		faultsSet: make(chan struct{}),
	}
	e.cache = newPrefixCache(&e.events)
	e.orders = orders{checksFence: options.ChecksFence, state: State{Name: options.Name}}
	return e
}

// SetFaults replaces the failures that are switched on. CrashOn counts for requests
// that are in the engine already, too.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	close(e.faultsSet)
	e.faultsSet = make(chan struct{})
}

// Journal returns all attempts that ran.
func (e *Engine) Journal() journal.Report {
	e.mu.Lock()
	for _, a := range e.running {
		e.journal.Progress(a.entry, int(a.tokens.Load()))
	}
	e.mu.Unlock()
	return e.journal.Report()
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// submit puts a at the end of the queue and returns its first watcher.
func (e *Engine) submit(a *attempt) (chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return nil, errDown
	}
	if _, known := e.attempts[a.id]; known {
		return nil, errDuplicate
	}
	if len(e.waiting) >= maxWaiting {
		return nil, errFull
	}
	e.attempts[a.id] = a
	e.waiting = append(e.waiting, a)
	e.wake()
	return a.watch(), nil
}

// wake starts the stepping goroutine when it is idle.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// find returns an attempt and a new watcher of it.
func (e *Engine) find(id string) (*attempt, chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, known := e.attempts[id]
	if !known {
		return nil, nil, false
	}
	return a, a.watch(), true
}

// leave takes a watcher away. An attempt that nobody watches for the grace time is
// cancelled: its caller is gone and won't resume.
func (e *Engine) leave(a *attempt, watcher chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !a.unwatch(watcher) || a.at() >= finished {
		return
	}
	a.unwatched++
	count := a.unwatched
	time.AfterFunc(e.faults.grace(), func() { e.cancelUnwatched(a, count) })
}

func (e *Engine) cancelUnwatched(a *attempt, count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(a.watchers) == 0 && a.unwatched == count {
		e.cancel(a)
	}
}

// cancelByID cancels an attempt and reports whether it is known.
func (e *Engine) cancelByID(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, known := e.attempts[id]
	if known {
		e.cancel(a)
	}
	return known
}

// cancel ends an attempt that hasn't ended. Called with mu held.
func (e *Engine) cancel(a *attempt) {
	switch a.at() {
	case waiting:
		e.waiting = without(e.waiting, a)
	case running:
		e.running = without(e.running, a)
		e.journal.End(a.entry, journal.Cancelled, int(a.tokens.Load()), time.Now())
	default:
		return
	}
	e.end(a, cancelled)
}

// end marks a as ended and keeps it for a late resume. Called with mu held.
func (e *Engine) end(a *attempt, p phase) {
	a.phase.Store(int32(p))
	a.prompt = ""
	a.wake()
	e.kept = append(e.kept, a)
	if len(e.kept) > maxKept {
		delete(e.attempts, e.kept[0].id)
		e.kept = e.kept[1:]
	}
}

func without(list []*attempt, a *attempt) []*attempt {
	kept := list[:0]
	for _, other := range list {
		if other != a {
			kept = append(kept, other)
		}
	}
	clear(list[len(kept):])
	return kept
}
