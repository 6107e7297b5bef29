package affinity

import (
	"sync/atomic"
	"time"
)

const (
	// minStreamLife is the least time for which a stream is taken to be resumable after its first event.
	minStreamLife = 30 * time.Second
	// triesFactor is how much longer than its route's timeout a stream may be resumed: the timeout bounds
	// one try, and a caller makes several.
	triesFactor = 2
)

// streamLife is how long after its first event a stream may still be resumed. It only grows, as streams
// of an earlier configuration go on, and isn't known before the first configuration.
type streamLife struct {
	ns    atomic.Int64
	known atomic.Bool
}

func (l *streamLife) get() time.Duration { return max(minStreamLife, time.Duration(l.ns.Load())) }

// window is how long a version that is no longer listed is taken to have streams: routers with an old
// list may have begun some after it had left.
func (l *streamLife) window() time.Duration { return l.get() + openAfter }

// over reports whether no stream can be resumed any more that began at a version which was last listed this long
// ago. While the life isn't known, one still can.
func (l *streamLife) over(age time.Duration) bool { return l.known.Load() && age >= l.window() }

// learn makes the life fit the streams of the configuration in force, as the view has them.
func (l *streamLife) learn(timeout time.Duration, configured bool) {
	if !configured {
		return
	}
	life := int64(triesFactor * timeout)
	for before := l.ns.Load(); before < life && !l.ns.CompareAndSwap(before, life); {
		before = l.ns.Load()
	}
	l.known.Store(true)
}
