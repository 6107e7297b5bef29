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
type outcomes struct {
	scope tally.Scope

	mu       sync.Mutex
	counters map[outcomeKey]tally.Counter
}

func newOutcomes(scope tally.Scope) *outcomes {
	return &outcomes{scope: scope, counters: make(map[outcomeKey]tally.Counter)}
}

func (o *outcomes) count(kind, outcome string) { o.counter(outcomeKey{kind, outcome}).Inc(1) }

func (o *outcomes) counter(key outcomeKey) tally.Counter {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counters[key]
	if c == nil {
		c = o.scope.Tagged(map[string]string{"kind": key.kind, "outcome": key.outcome}).Counter("requests")
		o.counters[key] = c
	}
	return c
}
