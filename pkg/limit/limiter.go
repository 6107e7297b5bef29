package limit

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// minWindow is the least number of samples a decision rests on: a single slow answer
// is noise.
const minWindow = 8

// shrink is the multiplicative decrease.
const shrink = 0.85

// Sample is the end of one piece of work.
type Sample struct {
	Org     string
	Outcome wire.Outcome
	FirstMs uint32 // 0 when not measured
	StepUs  uint32 // 0 when not measured
	Granted time.Time
	// Running is the work in progress there just before the end.
	Running int
}

// Limiter limits the work in progress of one upstream.
type Limiter struct {
	slots    int
	maxSlots int
	limit    float64
	first    track
	step     track
	samples  int
	bound    bool // the limit was reached in this window
	health   health
}

// New returns a limiter that starts at slots and stays within [1, maxSlots]; with a
// maxSlots of 0 it stays at slots. With 0 slots it admits nothing.
func New(slots, maxSlots int) *Limiter {
	l := &Limiter{}
	l.Configure(slots, maxSlots)
	return l
}

// Configure changes the bounds; what was learnt is kept within the new ones.
func (l *Limiter) Configure(slots, maxSlots int) {
	if l.slots == slots && l.maxSlots == maxSlots {
		return
	}
	fresh := l.slots == 0
	l.slots, l.maxSlots = max(slots, 0), max(maxSlots, 0)
	if fresh || l.fixed() {
		l.limit = float64(l.slots)
	}
	l.bind()
}

func (l *Limiter) fixed() bool { return l.maxSlots == 0 || l.slots == 0 }

// bind keeps the limit within its bounds. The lower one is 1: noise must never take an
// upstream out, since with no work there would be no sample to bring it back.
func (l *Limiter) bind() {
	if !l.fixed() {
		l.limit = min(max(l.limit, 1), float64(l.maxSlots))
	}
}

// Limit returns the number of slots: 0 while the upstream is taken out, 1 while it is
// probed.
func (l *Limiter) Limit(now time.Time) int {
	switch {
	case l.health.out(now):
		return 0
	case l.health.probing(now):
		return min(1, int(l.limit))
	default:
		return int(l.limit)
	}
}

// Probing says that a single piece of work is tried on an upstream that was taken out.
func (l *Limiter) Probing(now time.Time) bool { return l.health.probing(now) }

// Retry returns when an upstream that is taken out may be probed.
func (l *Limiter) Retry(now time.Time) (at time.Time, out bool) {
	return l.health.until, l.health.out(now)
}

// Ended takes in the end of one piece of work.
func (l *Limiter) Ended(s Sample, now time.Time) {
	switch s.Outcome {
	case wire.OutcomeDied, wire.OutcomeUnreachable:
		l.health.died(s.Granted, now)
	case wire.OutcomeFailed:
		l.health.failed(s.Org, s.Granted, now)
	case wire.OutcomeServed:
		l.health.served(s.Granted, now)
		l.measured(s)
	}
}

func (l *Limiter) measured(s Sample) {
	l.first.add(float64(s.FirstMs))
	l.step.add(float64(s.StepUs))
	l.samples++
	l.bound = l.bound || s.Running >= int(l.limit)
	if l.samples >= max(minWindow, int(l.limit)) {
		l.decide()
	}
}

// decide closes a window. The limit grows only when it was reached: growth without
// need would leave it far over the knee when the load comes.
func (l *Limiter) decide() {
	slowFirst, slowStep := l.first.close(), l.step.close()
	switch {
	case l.fixed():
	case slowFirst || slowStep:
		l.limit *= shrink
	case l.bound:
		l.limit++
	}
	l.bind()
	l.samples, l.bound = 0, false
}
