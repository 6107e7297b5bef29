package telemetry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// MaxOrgs bounds the organisations with series of their own; later ones share otherOrg.
// A flood of made-up names can't get here: only declared organisations are counted.
const MaxOrgs = 1000

const otherOrg = "other"

// Buckets of the request histograms: from 1 ms to about a minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 24)

// Buckets of the service histogram: from 1 to about half a million units.
var unitBuckets = tally.MustMakeExponentialValueBuckets(1, 2, 20)

// Requests keeps the histograms of each organisation and class.
//
// Guard: every request is counted here. With a lock, one goroutine that loses the processor while it
// holds it has all others wait in line for it, so only what is new takes one.
type Requests struct {
	scope tally.Scope
	sets  sync.Map // of *requestSet by requestKey

	mu   sync.Mutex
	orgs map[string]struct{}
}

type requestKey struct{ org, class string }

type requestSet struct {
	firstToken, betweenTokens, queueWait, service tally.Histogram
	units                                         tally.Counter
	scope                                         tally.Scope
	// refused holds the counters of error answers by code, a bounded set.
	refused sync.Map // of tally.Counter by string
}

// NewRequests returns histograms below scope.
func NewRequests(scope tally.Scope) *Requests {
	return &Requests{
		scope: scope.SubScope("request"),
		orgs:  make(map[string]struct{}),
	}
}

// FirstToken records the time from acceptance to the first byte of the answer.
func (r *Requests) FirstToken(org, class string, d time.Duration) {
	r.set(org, class).firstToken.RecordDuration(d)
}

// BetweenTokens records the time between two tokens of one answer.
func (r *Requests) BetweenTokens(org, class string, d time.Duration) {
	r.set(org, class).betweenTokens.RecordDuration(d)
}

// QueueWait records the time a request waited for its slot.
func (r *Requests) QueueWait(org, class string, d time.Duration) {
	r.set(org, class).queueWait.RecordDuration(d)
}

// Served records the service of one attempt, in units.
func (r *Requests) Served(org, class string, units float64) {
	s := r.set(org, class)
	s.service.RecordValue(units)
	s.units.Inc(int64(units))
}

// Refused counts one error answer by its code.
func (r *Requests) Refused(org, class, code string) {
	r.refusedCounter(org, class, code).Inc(1)
}

// refusedCounter finds or makes the counter of a code. A look in its scope costs half a
// microsecond and three allocations, so counters are kept.
func (r *Requests) refusedCounter(org, class, code string) tally.Counter {
	s := r.set(org, class)
	if c, ok := s.refused.Load(code); ok {
		return c.(tally.Counter)
	}
	c, _ := s.refused.LoadOrStore(code, s.scope.Tagged(map[string]string{"code": code}).Counter("refused"))
	return c.(tally.Counter)
}

func (r *Requests) set(org, class string) *requestSet {
	if s, ok := r.sets.Load(requestKey{org, class}); ok {
		return s.(*requestSet)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.orgs[org]; !known {
		if len(r.orgs) >= MaxOrgs {
			org = otherOrg
		}
		r.orgs[org] = struct{}{}
	}
	key := requestKey{org, class}
	if s, ok := r.sets.Load(key); ok {
		return s.(*requestSet)
	}
	s := newRequestSet(r.scope.Tagged(map[string]string{"organisation": org, "class": class}))
	r.sets.Store(key, s)
	return s
}

func newRequestSet(scope tally.Scope) *requestSet {
	return &requestSet{
		firstToken:    scope.Histogram("first_token_seconds", latencyBuckets),
		betweenTokens: scope.Histogram("between_tokens_seconds", latencyBuckets),
		queueWait:     scope.Histogram("queue_wait_seconds", latencyBuckets),
		service:       scope.Histogram("service_units", unitBuckets),
		units:         scope.Counter("units"),
		scope:         scope,
	}
}
