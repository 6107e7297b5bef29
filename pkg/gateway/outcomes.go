package gateway

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// outcomeKey is the values of a counter's two tags; both are bounded sets.
type outcomeKey struct{ first, second string }

// outcomes counts by two tags. It keeps the counters that it made:
// a look in their scopes for each request allocates and costs many times the count itself
// (BenchmarkMeter).
//
// Guard: every request ends here. With a lock, one goroutine that loses the processor while it holds
// it has all others wait in line, and the lock is handed from one to the next from then on: each
// request waits for a turn of all that wait for the processor.
type outcomes struct {
	scope         tally.Scope
	metric        string
	first, second string   // tags
	counters      sync.Map // of tally.Counter by outcomeKey
}

// newOutcomes counts requests by kind of route and outcome.
func newOutcomes(scope tally.Scope) *outcomes {
	return &outcomes{scope: scope, metric: "requests", first: "kind", second: "outcome"}
}

// newEndings counts answers of upstreams by how they were framed and what ended them.
func newEndings(scope tally.Scope) *outcomes {
	return &outcomes{scope: scope, metric: "answers", first: "framing", second: "ending"}
}

func (o *outcomes) count(first, second string) { o.counter(outcomeKey{first, second}).Inc(1) }

func (o *outcomes) counter(key outcomeKey) tally.Counter {
	if c, ok := o.counters.Load(key); ok {
		return c.(tally.Counter)
	}
	made := o.scope.Tagged(map[string]string{o.first: key.first, o.second: key.second}).Counter(o.metric)
	c, _ := o.counters.LoadOrStore(key, made)
	return c.(tally.Counter)
}
