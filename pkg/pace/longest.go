package pace

import (
	"sync"
	"time"
)

// longestWindow is the time after which a duration that was observed begins to be forgotten: it counts for one to
// two of them.
const longestWindow = time.Minute

// Longest learns the longest duration that was lately observed, by name. The zero value is ready to use.
type Longest struct {
	mu     sync.Mutex
	byName map[string]*longest
}

// longest holds the longest durations of the window that began at since, and of the one before.
type longest struct {
	since             time.Time
	current, previous time.Duration
}

// Observe records a duration.
func (l *Longest) Observe(name string, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName == nil {
		l.byName = make(map[string]*longest)
	}
	o := l.byName[name]
	if o == nil {
		o = &longest{since: now}
		l.byName[name] = o
	}
	o.advance(now)
	o.current = max(o.current, took)
}

// Of returns the longest duration that was lately observed; 0 for none.
func (l *Longest) Of(name string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.byName[name]
	if o == nil {
		return 0
	}
	o.advance(now)
	return max(o.current, o.previous)
}

// advance begins a new window if the present one has ended.
func (o *longest) advance(now time.Time) {
	elapsed := now.Sub(o.since)
	if elapsed < longestWindow {
		return
	}
	o.previous, o.current = o.current, 0
	if elapsed >= 2*longestWindow {
		o.previous = 0
	}
	o.since = now
}
