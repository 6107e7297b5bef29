package limit

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// minSamples is the smallest number of samples in a window: a single slow response is
// noise.
const minSamples = 8

const (
	// decreaseFactor is the multiplicative decrease of the limit.
	decreaseFactor = 0.85
	// minGrowthDelay and maxGrowthDelay bound the number of windows between an undone growth
	// and the next attempt.
	minGrowthDelay = 4
	maxGrowthDelay = 64
)

// Sample describes one request that ended.
type Sample struct {
	Org     string
	Outcome wire.Outcome
	FirstMs uint32 // time to first token; 0 when not measured
	StepUs  uint32 // mean time between tokens; 0 when not measured
	Granted time.Time
	// Running is the number of running requests on the upstream just before the end.
	Running int
}

// Limiter limits the concurrency of one upstream.
type Limiter struct {
	slots         int
	maxSlots      int
	limit         float64
	firstToken    latencyWindow
	tokenInterval latencyWindow
	samples       int
	saturated     bool // the limit was reached in this window
	lastGrew      bool // the last change of the limit was a growth
	changedAt     time.Time
	growthDelay   int // windows to wait after the last undone growth
	windowsToWait int // windows left to wait before the limit may grow
	health        health
}

// New returns a limiter that starts at slots and stays within [1, maxSlots]; with a
// maxSlots of 0 it stays at slots. With 0 slots it admits nothing.
func New(slots, maxSlots int) *Limiter {
	l := &Limiter{}
	l.Configure(slots, maxSlots)
	return l
}

// Configure changes the bounds. The limit reached so far is kept if the new bounds allow it.
func (l *Limiter) Configure(slots, maxSlots int) {
	if l.slots == slots && l.maxSlots == maxSlots {
		return
	}
	fresh := l.slots == 0
	l.slots, l.maxSlots = max(slots, 0), max(maxSlots, 0)
	if fresh || l.Fixed() {
		l.limit = float64(l.slots)
	}
	l.clamp()
}

// Fixed reports whether the limit doesn't adapt.
func (l *Limiter) Fixed() bool { return l.maxSlots == 0 || l.slots == 0 }

// clamp keeps the limit within its bounds. The lower bound is 1: noise must never take
// an upstream out of use, since without work there would be no samples to bring it back.
func (l *Limiter) clamp() {
	if !l.Fixed() {
		l.limit = min(max(l.limit, 1), float64(l.maxSlots))
	}
}

// Limit returns the number of slots: 0 while the upstream is ejected, 1 while it is
// probed.
func (l *Limiter) Limit(now time.Time) int {
	switch {
	case l.health.ejected(now):
		return 0
	case l.health.probing(now):
		return min(1, int(l.limit))
	default:
		return int(l.limit)
	}
}

// Probing reports whether an ejected upstream may now run a single request as a probe.
func (l *Limiter) Probing(now time.Time) bool { return l.health.probing(now) }

// Eject takes the upstream out of use as after a crash: requests that run there go on,
// and the upstream is probed after the backoff.
func (l *Limiter) Eject(now time.Time) { l.health.eject(now, now) }

// ProbeAt returns when an ejected upstream may be probed; false when it isn't ejected.
func (l *Limiter) ProbeAt(now time.Time) (at time.Time, ejected bool) {
	return l.health.downUntil, l.health.ejected(now)
}

// Record updates the limit and the upstream's health with the end of a request.
func (l *Limiter) Record(s Sample, now time.Time) {
	switch s.Outcome {
	case wire.OutcomeDied, wire.OutcomeUnreachable:
		l.health.eject(s.Granted, now)
	case wire.OutcomeFailed:
		l.health.recordFailure(s.Org, s.Granted, now)
	case wire.OutcomeServed:
		l.health.recordSuccess(s.Granted, now)
		l.observe(s, now)
	}
}

// observe adds a sample to the window. Requests granted before the last change of the
// limit are left out: they ran under the old limit. Counting them would make the limit grow
// past the knee of the latency curve and shrink far below it later.
func (l *Limiter) observe(s Sample, now time.Time) {
	if s.Granted.Before(l.changedAt) {
		return
	}
	l.firstToken.add(float64(s.FirstMs))
	l.tokenInterval.add(float64(s.StepUs))
	l.samples++
	l.saturated = l.saturated || s.Running >= int(l.limit)
	if l.samples >= max(minSamples, int(l.limit)) {
		l.adjust(now)
	}
}

// adjust closes a window and changes the limit. The limit grows only when it was reached:
// otherwise it would be far above the knee when the load rises.
func (l *Limiter) adjust(now time.Time) {
	slowFirstToken, slowInterval := l.firstToken.close(), l.tokenInterval.close()
	slow, before := slowFirstToken || slowInterval, l.limit
	switch {
	case l.Fixed():
	case slow && l.lastGrew:
		l.undoGrowth()
	case slow:
		l.limit *= decreaseFactor
	case l.windowsToWait > 0:
		l.windowsToWait--
	case l.saturated:
		l.limit++
	}
	l.clamp()
	if l.limit != before {
		l.lastGrew, l.changedAt = l.limit > before, now
	}
	l.samples, l.saturated = 0, false
}

// undoGrowth takes back the last growth, which has shown where the knee is. The next
// attempt follows after a number of windows that doubles each time. A multiplicative
// decrease would idle slots of an engine that is as fast as before, and an attempt in each
// window would keep a queue inside the engine.
func (l *Limiter) undoGrowth() {
	l.limit--
	l.growthDelay = min(max(2*l.growthDelay, minGrowthDelay), maxGrowthDelay)
	l.windowsToWait = l.growthDelay
}
