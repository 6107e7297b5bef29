package upstream

import (
	"sync"
	"time"
)

// Figures of Health.
const (
	// firstSuspension is how long an instance is left alone after its first failure to
	// answer at all; each further one in a row doubles it up to maxSuspension. A crashed
	// upstream is back after some seconds.
	firstSuspension = 300 * time.Millisecond
	maxSuspension   = 2500 * time.Millisecond
	// failureWeight is the share of the newest outcome in the failure rate: about the
	// last ten count.
	failureWeight = 0.1
	// failureHandicap is the handicap of an instance that fails all it is given.
	failureHandicap = 800 * time.Millisecond
	// doubtHandicap is the handicap of an instance whose suspension has just ended.
	doubtHandicap = 100 * time.Millisecond
)

// Outcome is how an attempt at an instance went.
type Outcome int

// Outcomes of attempts.
const (
	// Served: an answer that is not a failure, whole.
	Served Outcome = iota
	// Failed: the instance answered, with a failure or with garbage.
	Failed
	// Silent: the instance could not be reached or broke off.
	Silent
)

// Health keeps how lives of instances have done lately, from this router's own attempts. A
// new life has a record of its own: what its predecessor failed at says nothing of it.
type Health struct {
	mu      sync.Mutex
	records map[Life]*record
}

type record struct {
	silent int // Silent outcomes in a row
	until  time.Time
	rate   float64
}

// NewHealth returns an empty Health.
func NewHealth() *Health { return &Health{records: make(map[Life]*record)} }

// Observe notes an outcome; suspended is set when it starts a suspension.
func (h *Health) Observe(life Life, o Outcome, now time.Time) (suspended time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[life]
	if r == nil {
		r = new(record)
		h.records[life] = r
	}
	if o == Served {
		r.silent = 0
		r.rate -= r.rate * failureWeight
		return 0
	}
	r.rate += (1 - r.rate) * failureWeight
	if o == Failed {
		r.silent = 0
		return 0
	}
	if now.Before(r.until) {
		return 0 // one of several that broke off together
	}
	suspended = min(maxSuspension, firstSuspension<<min(r.silent, 8))
	r.silent++
	r.until = now.Add(suspended)
	return suspended
}

// Usable reports whether a life of an instance may be given work, and its handicap.
func (h *Health) Usable(life Life, now time.Time) (handicap time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records[life].usable(now)
}

// EachUsable gives the instances of list that may be given work, with their handicaps, all
// as of one moment. take must not call Health.
func (h *Health) EachUsable(list []*Instance, now time.Time, take func(in *Instance, handicap time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, in := range list {
		if handicap, ok := h.records[in.Life()].usable(now); ok {
			take(in, handicap)
		}
	}
}

func (r *record) usable(now time.Time) (handicap time.Duration, ok bool) {
	if r == nil {
		return 0, true
	}
	if now.Before(r.until) {
		return 0, false
	}
	handicap = time.Duration(float64(failureHandicap) * r.rate)
	return handicap + time.Duration(r.silent)*doubtHandicap, true
}

// Prune drops what is known of lives that set doesn't have.
func (h *Health) Prune(set *Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for life := range h.records {
		if !set.Lives(life) {
			delete(h.records, life)
		}
	}
}
