package gateway

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// outcomeKey is a kind of route with an outcome; both are bounded sets.
type outcomeKey struct{ kind, outcome string }

// outcomes counts requests by kind of route and outcome. It keeps the counters that it made:
// a look in their scopes for each request allocates and costs many times the count itself
// (BenchmarkMeter).
//
// Guard: every request ends here. With a lock, one goroutine that loses the processor while it holds
// it has all others wait in line, and the lock is handed from one to the next from then on: each
// request waits for a turn of all that wait for the processor.
type outcomes struct {
	scope    tally.Scope
	counters sync.Map // of tally.Counter by outcomeKey
}

func newOutcomes(scope tally.Scope) *outcomes { return &outcomes{scope: scope} }

func (o *outcomes) count(kind, outcome string) { o.counter(outcomeKey{kind, outcome}).Inc(1) }

func (o *outcomes) counter(key outcomeKey) tally.Counter {
	if c, ok := o.counters.Load(key); ok {
		return c.(tally.Counter)
	}
	made := o.scope.Tagged(map[string]string{"kind": key.kind, "outcome": key.outcome}).Counter("requests")
	c, _ := o.counters.LoadOrStore(key, made)
	return c.(tally.Counter)
}
