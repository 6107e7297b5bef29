package gateway

import (
	"sync/atomic"
	"time"
)

// lineInterval is the shortest time between two log lines of one kind about upstreams in trouble, which
// cause them as fast as requests are placed.
const lineInterval = time.Second

// lineLimiter limits the log lines of one kind.
type lineLimiter struct {
	// next is when the next line may be written, in Unix nanoseconds; left counts those left out since the
	// last one.
	next, left atomic.Int64
}

// allow reports whether a line may be written now, and how many were left out before it.
func (l *lineLimiter) allow(now time.Time) (ok bool, left int64) {
	next := l.next.Load()
	if now.UnixNano() < next || !l.next.CompareAndSwap(next, now.Add(lineInterval).UnixNano()) {
		l.left.Add(1)
		return false, 0
	}
	return true, l.left.Swap(0)
}
