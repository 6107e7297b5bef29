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
// of an earlier configuration go on.
type streamLife struct{ ns atomic.Int64 }

func (l *streamLife) get() time.Duration { return max(minStreamLife, time.Duration(l.ns.Load())) }

// window is how long a version that is no longer listed is taken to have streams: routers with an old
// list may have begun some after it had left.
func (l *streamLife) window() time.Duration { return l.get() + openAfter }

// extend makes the life fit streams of routes with this timeout.
func (l *streamLife) extend(timeout time.Duration) {
	life := int64(triesFactor * timeout)
	for known := l.ns.Load(); known < life && !l.ns.CompareAndSwap(known, life); {
		known = l.ns.Load()
	}
}
