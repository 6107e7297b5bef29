package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// servedLines and failedLines bound the lines a second for requests that were served
	// and for those that were not. The routers of the first deployments serve about fifty
	// requests a second; a flood of refusals is thousands.
	servedLines = 100
	failedLines = 200
)

// lineBudget bounds the lines a second, and counts what is left out. Failures have a
// budget of their own: a flood of successes never hides them. It has no lock, see outcomes.
type lineBudget struct {
	second                 atomic.Pointer[lineSecond]
	leftServed, leftFailed atomic.Int64
}

// lineSecond counts the requests of one second.
type lineSecond struct {
	at             int64
	served, failed atomic.Int64
}

// allow reports whether a line may be written now. At the first line of a second it also
// gives what was left out since it last said so.
func (b *lineBudget) allow(served bool, now time.Time) (ok bool, leftServed, leftFailed int64) {
	second, first := b.current(now.Unix())
	if first {
		leftServed, leftFailed = b.leftServed.Swap(0), b.leftFailed.Swap(0)
	}
	count, most, left := &second.failed, int64(failedLines), &b.leftFailed
	if served {
		count, most, left = &second.served, servedLines, &b.leftServed
	}
	ok = count.Add(1) <= most
	if !ok {
		left.Add(1)
	}
	return ok, leftServed, leftFailed
}

// current gives the counts of a second, and whether it has just begun.
func (b *lineBudget) current(at int64) (second *lineSecond, first bool) {
	for {
		second = b.second.Load()
		if second != nil && second.at == at {
			return second, false
		}
		fresh := &lineSecond{at: at}
		if b.second.CompareAndSwap(second, fresh) {
			return fresh, true
		}
	}
}
