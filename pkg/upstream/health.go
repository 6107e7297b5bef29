package upstream

import (
	"sync"
	"time"
)

// Parameters of Health.
const (
	// minSuspension is how long an instance gets no work after its first failed connection; each
	// further failure in a row doubles the time up to maxSuspension. A crashed upstream is back
	// after some seconds.
	minSuspension = 300 * time.Millisecond
	maxSuspension = 2500 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the failure rate, an EWMA over about the
	// last ten outcomes.
	failureWeight = 0.1
	// failureHandicap is the handicap of an instance that fails every request. Placement adds the
	// handicap to the cost of an instance.
	failureHandicap = 800 * time.Millisecond
	// suspensionHandicap is the handicap for each failed connection in a row, once the suspension
	// has ended.
	suspensionHandicap = 100 * time.Millisecond
)

// Outcome is the result of an attempt at an instance.
type Outcome int

// Outcomes of attempts.
const (
	// Served is a complete response that is not a failure.
	Served Outcome = iota
	// Failed is a response that reports a failure or is malformed.
	Failed
	// ConnectionFailed is a connection that could not be opened or broke off.
	ConnectionFailed
)

// Health tracks the recent outcomes of instances as seen by this router's own attempts. Records are
// kept for each life, as the failures of an earlier life say nothing about the next one.
type Health struct {
	mu      sync.Mutex
	records map[Life]*record
}

type record struct {
	connectionFailures int // ConnectionFailed outcomes in a row, apart from those during a suspension
	suspendedUntil     time.Time
	// backoffUntil is the end of the backoff that the instance has requested from this router.
	backoffUntil time.Time
	failureRate  float64
}

// NewHealth returns an empty Health.
func NewHealth() *Health { return &Health{records: make(map[Life]*record)} }

// Observe records an outcome. It returns the length of the suspension that the outcome starts, 0
// for none.
func (h *Health) Observe(life Life, o Outcome, now time.Time) (suspended time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(life)
	if o == Served {
		r.connectionFailures = 0
		r.failureRate -= r.failureRate * failureWeight
		return 0
	}
	r.failureRate += (1 - r.failureRate) * failureWeight
	if o == Failed {
		r.connectionFailures = 0
		return 0
	}
	if now.Before(r.suspendedUntil) {
		return 0 // connections to a crashed instance break off together and count once
	}
	suspended = min(maxSuspension, minSuspension<<min(r.connectionFailures, 8))
	r.connectionFailures++
	r.suspendedUntil = now.Add(suspended)
	return suspended
}

// RequestBackoff records that an instance wants no requests from this router for d. It reports whether that is
// longer than what it requested before; a shorter one doesn't end the earlier one, as responses may arrive out of
// order.
func (h *Health) RequestBackoff(life Life, d time.Duration, now time.Time) (extended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(life)
	until := now.Add(min(d, MaxBackoff))
	if !until.After(r.backoffUntil) {
		return false
	}
	r.backoffUntil = until
	return true
}

// BackoffUntil returns the end of the backoff that an instance has requested, and whether that is still to come.
func (h *Health) BackoffUntil(life Life, now time.Time) (until time.Time, pending bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[life]
	if r == nil || !now.Before(r.backoffUntil) {
		return time.Time{}, false
	}
	return r.backoffUntil, true
}

// record returns the record of a life, which is created if there is none.
func (h *Health) record(life Life) *record {
	r := h.records[life]
	if r == nil {
		r = new(record)
		h.records[life] = r
	}
	return r
}

// Usable reports whether a life of an instance may be given work, and its handicap.
func (h *Health) Usable(life Life, now time.Time) (handicap time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records[life].usable(now)
}

// EachUsable calls take for each instance of list that may be given work, with its handicap at now.
// take must not call Health.
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
	if now.Before(r.suspendedUntil) || now.Before(r.backoffUntil) {
		return 0, false
	}
	handicap = time.Duration(float64(failureHandicap) * r.failureRate)
	return handicap + time.Duration(r.connectionFailures)*suspensionHandicap, true
}

// Prune drops the records of lives that are no longer current in set. A backoff is kept to its end, as an entry
// that has lapsed may come back.
func (h *Health) Prune(set *Set, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for life := range h.records {
		if !set.IsCurrent(life) && !now.Before(h.records[life].backoffUntil) {
			delete(h.records, life)
		}
	}
}
