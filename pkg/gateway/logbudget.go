package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// maxServedLines and maxFailedLines limit the log lines per second for requests that were served
	// and for those that were not. A router typically serves about fifty requests per second; a
	// flood of refusals is thousands.
	maxServedLines = 100
	maxFailedLines = 200
)

// logBudget limits the log lines per second and counts the lines that it drops. Failed requests
// have a budget of their own, so that a flood of served requests never hides them. It has no lock,
// for the reason given at taggedCounters.
type logBudget struct {
	second                       atomic.Pointer[logSecond]
	droppedServed, droppedFailed atomic.Int64
}

// logSecond counts the requests of one second.
type logSecond struct {
	unix           int64
	served, failed atomic.Int64
}

// allow reports whether a line may be written now. On the first line of a second it also returns
// how many lines were dropped since they were last reported.
func (b *logBudget) allow(served bool, now time.Time) (ok bool, droppedServed, droppedFailed int64) {
	counts, first := b.current(now.Unix())
	if first {
		droppedServed, droppedFailed = b.droppedServed.Swap(0), b.droppedFailed.Swap(0)
	}
	count, limit, dropped := &counts.failed, int64(maxFailedLines), &b.droppedFailed
	if served {
		count, limit, dropped = &counts.served, maxServedLines, &b.droppedServed
	}
	ok = count.Add(1) <= limit
	if !ok {
		dropped.Add(1)
	}
	return ok, droppedServed, droppedFailed
}

// current returns the counts of a second, and whether the call was the first in that second.
func (b *logBudget) current(unix int64) (counts *logSecond, first bool) {
	for {
		counts = b.second.Load()
		if counts != nil && counts.unix == unix {
			return counts, false
		}
		fresh := &logSecond{unix: unix}
		if b.second.CompareAndSwap(counts, fresh) {
			return fresh, true
		}
	}
}
