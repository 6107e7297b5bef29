package gateway

import (
	"sync"
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
// budget of their own: a flood of successes never hides them.
type lineBudget struct {
	mu     sync.Mutex
	second int64
	served int
	failed int
	leftServed,
	leftFailed int64
}

// allow reports whether a line may be written now. At the first line of a second it also
// gives what was left out since it last said so.
func (b *lineBudget) allow(served bool, now time.Time) (ok bool, leftServed, leftFailed int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second, b.served, b.failed = s, 0, 0
		leftServed, leftFailed = b.leftServed, b.leftFailed
		b.leftServed, b.leftFailed = 0, 0
	}
	if served {
		b.served++
		ok = b.served <= servedLines
		if !ok {
			b.leftServed++
		}
		return ok, leftServed, leftFailed
	}
	b.failed++
	ok = b.failed <= failedLines
	if !ok {
		b.leftFailed++
	}
	return ok, leftServed, leftFailed
}
