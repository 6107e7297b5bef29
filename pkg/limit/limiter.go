package limit

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// minWindow is the least number of samples a decision rests on: a single slow answer
// is noise.
const minWindow = 8

const (
	// shrink is the multiplicative decrease.
	shrink = 0.85
	// minPatience and maxPatience bound the windows that pass after a growth was undone
	// before the next one is tried.
	minPatience = 4
	maxPatience = 64
)

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
	grew     bool // the last change was a growth
	changed  time.Time
	patience int // windows to let pass after the next growth that is undone
	wait     int // windows to let pass yet
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
	if fresh || l.Fixed() {
		l.limit = float64(l.slots)
	}
	l.bind()
}

// Fixed says that the limit doesn't adapt.
func (l *Limiter) Fixed() bool { return l.maxSlots == 0 || l.slots == 0 }

// bind keeps the limit within its bounds. The lower one is 1: noise must never take an
// upstream out, since with no work there would be no sample to bring it back.
func (l *Limiter) bind() {
	if !l.Fixed() {
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
		l.measured(s, now)
	}
}

// measured takes in a sample. Work that was granted before the limit's last change is
// left out: it ran under the old limit and says nothing about the new one. Counted, it
// made the limit grow on beyond the knee, and later shrink far under it.
func (l *Limiter) measured(s Sample, now time.Time) {
	if s.Granted.Before(l.changed) {
		return
	}
	l.first.add(float64(s.FirstMs))
	l.step.add(float64(s.StepUs))
	l.samples++
	l.bound = l.bound || s.Running >= int(l.limit)
	if l.samples >= max(minWindow, int(l.limit)) {
		l.decide(now)
	}
}

// decide closes a window. The limit grows only when it was reached: growth without
// need would leave it far over the knee when the load comes.
func (l *Limiter) decide(now time.Time) {
	slowFirst, slowStep := l.first.close(), l.step.close()
	slow, before := slowFirst || slowStep, l.limit
	switch {
	case l.Fixed():
	case slow && l.grew:
		l.undo()
	case slow:
		l.limit *= shrink
	case l.wait > 0:
		l.wait--
	case l.bound:
		l.limit++
	}
	l.bind()
	if l.limit != before {
		l.grew, l.changed = l.limit > before, now
	}
	l.samples, l.bound = 0, false
}

// undo takes the last growth back. The knee is known then: it is tried again after some
// windows, after more of them each time. A multiplicative decrease would idle slots of an
// engine that is as fast as before, and a try at each window keeps a queue inside it.
func (l *Limiter) undo() {
	l.limit--
	l.patience = min(max(2*l.patience, minPatience), maxPatience)
	l.wait = l.patience
}
