package admission

import (
	"math"
	"time"
)

// quotaPeriod is the time in which a quota gives its turns of the processor.
const quotaPeriod = 100 * time.Millisecond

// inflow is how many connections were let in lately.
//
// Guard: a router that stands still lets in nobody, and that says nothing of what it can serve. With
// the whole standstill forgotten for, each one lowers what is let in after it, down to a few
// connections a turn.
type inflow struct {
	n  float64
	at time.Time
}

// let counts a connection that was let in.
func (f *inflow) let(now time.Time) {
	f.fade(now)
	f.n++
}

// perPeriod is how many are let in in a quota's period.
func (f *inflow) perPeriod(now time.Time) int {
	f.fade(now)
	return int(f.n * quotaPeriod.Seconds() / shareWindow.Seconds())
}

// fade forgets with the time that passed, of a standstill at most a quota's period.
func (f *inflow) fade(now time.Time) {
	if passed := now.Sub(f.at); passed > 0 {
		f.n *= math.Exp(-min(passed, quotaPeriod).Seconds() / shareWindow.Seconds())
		f.at = now
	}
}
