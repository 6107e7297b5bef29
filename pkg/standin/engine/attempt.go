package engine

import (
	"sync/atomic"

	"github.com/flamingowind/flamingowind/pkg/standin/journal"
)

// phase is how far an attempt has come. It only grows.
type phase int32

const (
	waiting phase = iota
	running
	finished
	cancelled
	crashed
)

// attempt is one request inside the engine. phase and tokens are read by handlers
// without the engine's lock; all else is guarded by it or never changes.
type attempt struct {
	id           string
	org          string
	key          string
	marker       string
	content      string
	prompt       string
	promptTokens int
	model        string
	created      int64 // seconds since 1970
	chat         bool
	stream       bool
	limited      bool // the caller's bound cut the answer
	total        int  // tokens of the answer
	blocks       []uint64

	// The failures that were switched on when the request came.
	garbage      bool
	truncate     bool
	surplus      bool
	wrongAttempt bool

	phase  atomic.Int32
	tokens atomic.Int32

	prefill  int // steps still to spend on the prompt
	entry    journal.Entry
	watchers []chan struct{}
	// unwatched grows each time the last watcher leaves; it tells a stale grace timer.
	unwatched int
}

func (a *attempt) at() phase { return phase(a.phase.Load()) }

// progress returns the phase and the tokens done. The phase is read first: once it is
// finished, the tokens read after it are all of them.
func (a *attempt) progress() (phase, int) {
	p := a.at()
	return p, int(a.tokens.Load())
}

// watch adds a watcher, which is told of each step. Called with the engine's lock.
func (a *attempt) watch() chan struct{} {
	c := make(chan struct{}, 1)
	a.watchers = append(a.watchers, c)
	return c
}

// unwatch removes a watcher and reports whether it was the last. Called with the engine's lock.
func (a *attempt) unwatch(c chan struct{}) bool {
	for i, w := range a.watchers {
		if w == c {
			a.watchers = append(a.watchers[:i], a.watchers[i+1:]...)
			break
		}
	}
	return len(a.watchers) == 0
}

// wake tells all watchers. Called with the engine's lock.
func (a *attempt) wake() {
	for _, c := range a.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
