package crowd_test

import (
	"context"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// lateEvery is the timer by which the test tells whether its own process gets the processor.
const lateEvery = 5 * time.Millisecond

// lateness is how late the test's own timers were, second by second: its callers and upstreams
// are late with it, whatever the router does.
type lateness struct {
	mu      sync.Mutex
	seconds []lateSecond
}

type lateSecond struct {
	sum time.Duration
	n   int
}

// watch looks at the timer until ctx ends.
func (l *lateness) watch(ctx context.Context) {
	began := time.Now()
	for last := began; waiting.For(ctx, lateEvery); {
		now := time.Now()
		l.add(int(now.Sub(began)/time.Second), now.Sub(last)-lateEvery)
		last = now
	}
}

func (l *lateness) add(second int, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.seconds) <= second {
		l.seconds = append(l.seconds, lateSecond{})
	}
	l.seconds[second].sum += late
	l.seconds[second].n++
}

// mean is the mean lateness in a second; 0 for one in which no timer fired.
func (l *lateness) mean(second int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second >= len(l.seconds) || l.seconds[second].n == 0 {
		return 0
	}
	return (l.seconds[second].sum / time.Duration(l.seconds[second].n)).Round(100 * time.Microsecond)
}
