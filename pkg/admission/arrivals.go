package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// arrivalWindow is the time constant of the decay of both counts.
	arrivalWindow = time.Second
	// minRetryAfter is the delay announced while most connections are admitted, maxRetryAfter the
	// longest one; callers wait no longer than a third of their remaining time.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// arrivals counts recent connections and how many of them were shed, with exponential decay.
type arrivals struct {
	mu          sync.Mutex
	total, shed float64
	updatedAt   time.Time
}

// countAdmitted counts an admitted connection.
func (a *arrivals) countAdmitted(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.total++
}

// countShed counts n connections that were shed.
func (a *arrivals) countShed(n int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	a.total += float64(n)
	a.shed += float64(n)
}

func (a *arrivals) decay(now time.Time) {
	if passed := now.Sub(a.updatedAt); passed > 0 {
		f := math.Exp(-passed.Seconds() / arrivalWindow.Seconds())
		a.total *= f
		a.shed *= f
		a.updatedAt = now
	}
}

// quotaPeriod is the period of a CPU quota.
const quotaPeriod = 100 * time.Millisecond

// admittedPerPeriod returns the recent mean number of connections admitted per quota period.
func (a *arrivals) admittedPerPeriod(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	return int((a.total - a.shed) * quotaPeriod.Seconds() / arrivalWindow.Seconds())
}

// retryAfter returns the time after which a caller that is shed now should retry, as far as the load
// is concerned; callers with an objective that leaves time for a second attempt are told less.
//
// If every caller were told the same short delay, shed callers would return into the same overload,
// and shedding them again takes CPU from admitted ones. When n times as many connections arrive as
// can be admitted, the retries are spread over n times the delay.
func (a *arrivals) retryAfter(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	if a.total <= a.shed {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(float64(minRetryAfter)*a.total/(a.total-a.shed)))
}
