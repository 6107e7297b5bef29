package gateway

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// tagValues holds the values of a counter's two tags; the number of both is bounded.
type tagValues struct{ first, second string }

// taggedCounters counts by two tags. It caches its counters: looking them up in their scopes for
// each request allocates and costs many times as much as the count itself.
//
// Guard: every request passes through here. With a lock, a goroutine that is descheduled while it
// holds the lock makes all others queue, and from then on the lock is handed from one waiter to the
// next: each request waits for a turn of every goroutine that waits for the CPU.
type taggedCounters struct {
	scope               tally.Scope
	metric              string
	firstTag, secondTag string   // names of the tags
	counters            sync.Map // of tally.Counter by tagValues
}

// newOutcomeCounters returns counters of requests by kind of route and outcome.
func newOutcomeCounters(scope tally.Scope) *taggedCounters {
	return &taggedCounters{scope: scope, metric: "requests", firstTag: "kind", secondTag: "outcome"}
}

// newEndingCounters returns counters of upstream responses by how they were framed and what ended them.
func newEndingCounters(scope tally.Scope) *taggedCounters {
	return &taggedCounters{scope: scope, metric: "answers", firstTag: "framing", secondTag: "ending"}
}

// newResumedCounters returns counters of streams that broke off, or that callers resumed, by how the
// software version that began them is known and by what became of them.
func newResumedCounters(scope tally.Scope) *taggedCounters {
	return &taggedCounters{scope: scope, metric: "streams_resumed", firstTag: "known_by", secondTag: "outcome"}
}

// newSuspicionCounters returns counters of crashes that were seen under requests, of suspicions that were
// cleared, and of requests that were refused, by what is suspected.
func newSuspicionCounters(scope tally.Scope) *taggedCounters {
	return &taggedCounters{scope: scope, metric: "suspicions", firstTag: "step", secondTag: "subject"}
}

// newBookingCounters returns counters of asks for turns at engines, by what came of them and by the
// standing of the organisation.
func newBookingCounters(scope tally.Scope) *taggedCounters {
	return &taggedCounters{scope: scope, metric: "bookings", firstTag: "outcome", secondTag: "share"}
}

// newExcessCounters returns counters of responses that were cut off because they exceeded a bound, by the
// bound and by kind of route.
func newExcessCounters(scope tally.Scope) *taggedCounters {
	return &taggedCounters{scope: scope, metric: "responses_exceeding", firstTag: "bound", secondTag: "kind"}
}

// newReadCounters returns counters of requests that were read whole, by how they ended and whether they
// were the first ones on their connections.
func newReadCounters(scope tally.Scope) *taggedCounters {
	return &taggedCounters{scope: scope, metric: "requests_read", firstTag: "ending", secondTag: "connection"}
}

// newNoticeCounters returns counters of responses that say something about their upstream, by service and by
// what they say.
func newNoticeCounters(scope tally.Scope) *taggedCounters {
	return &taggedCounters{scope: scope, metric: "upstream_notices", firstTag: "service", secondTag: "notice"}
}

func (t *taggedCounters) count(first, second string) { t.counter(tagValues{first, second}).Inc(1) }

func (t *taggedCounters) counter(key tagValues) tally.Counter {
	if c, ok := t.counters.Load(key); ok {
		return c.(tally.Counter)
	}
	created := t.scope.Tagged(map[string]string{t.firstTag: key.first, t.secondTag: key.second}).Counter(t.metric)
	c, _ := t.counters.LoadOrStore(key, created)
	return c.(tally.Counter)
}
