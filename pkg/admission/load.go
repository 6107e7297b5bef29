package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// shareWindow is the time constant with which connections are forgotten.
	shareWindow = time.Second
	// leastPause is the pause of one that is turned away while most are let in, mostPause
	// the longest; callers wait no longer than a third of the time that they have left.
	leastPause = 400 * time.Millisecond
	mostPause  = 4 * time.Second
)

// load is how many of the connections that came lately were turned away.
type load struct {
	mu        sync.Mutex
	all, away float64
	at        time.Time
}

// letIn counts a connection that was let in.
func (l *load) letIn(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(now)
	l.all++
}

// turnedAway counts n that were not.
func (l *load) turnedAway(n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(now)
	l.all += float64(n)
	l.away += float64(n)
}

func (l *load) fade(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 {
		f := math.Exp(-passed.Seconds() / shareWindow.Seconds())
		l.all *= f
		l.away *= f
		l.at = now
	}
}

// quotaPeriod is the time in which a quota gives its turns of the processor.
const quotaPeriod = 100 * time.Millisecond

// perPeriod is how many connections are let in in a quota's period, at the mean of the last while.
func (l *load) perPeriod(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(now)
	return int((l.all - l.away) * quotaPeriod.Seconds() / shareWindow.Seconds())
}

// pause is the time after which one that is turned away should come back.
//
// Guard: told the same short time however many come, those that are turned away come back
// into the same crowd, and turning them away again takes the processor from those that
// are let in. With n times what can be let in, they come back spread over n times as long.
func (l *load) pause(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(now)
	if l.all <= l.away {
		return mostPause
	}
	return min(mostPause, time.Duration(float64(leastPause)*l.all/(l.all-l.away)))
}
