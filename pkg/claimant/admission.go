package claimant

import (
	"sync"
	"time"
)

// Bounds of RetryAfter.
const (
	minRetry     = 100 * time.Millisecond
	maxRetry     = 30 * time.Second
	unknownRetry = time.Second // nothing has drained lately: the rate is unknown
	// maxIdleQueues bounds how many idle organisations' drain rates are remembered.
	maxIdleQueues = 4096
)

// gate bounds the waiting requests. It stands before the duty's channel, in the
// caller's goroutine: a flood is turned away without costing the duty anything, so
// the others' requests aren't delayed by it.
type gate struct {
	mu    sync.Mutex
	max   int
	limit func(org string) int
	total queue
	orgs  map[string]*queue
}

// queue counts waiting requests and their departures.
type queue struct {
	waiting int
	drained rate
}

func newGate(limit int, perOrg func(string) int) *gate {
	return &gate{max: limit, limit: perOrg, orgs: make(map[string]*queue)}
}

// enter admits a request, or refuses it with the time to come back.
//
// An organisation may hold at most as many places as are free, besides its own bound.
// With the bare total, a few flooding organisations would fill it and all others
// would be refused; this way places stay free for those that hold few.
func (g *gate) enter(org string, now time.Time) (retry time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(org)
	if q.waiting >= min(g.limit(org), g.max-g.total.waiting) {
		return q.retry(now), false
	}
	q.waiting++
	g.total.waiting++
	return 0, true
}

// leave ends the stay of a request that entered.
func (g *gate) leave(org string, granted bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(org)
	q.waiting--
	g.total.waiting--
	if granted {
		q.drained.add(now)
		g.total.drained.add(now)
	}
}

// retryAfter is the time in which the organisation's queue here drains.
func (g *gate) retryAfter(org string, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue(org).retry(now)
}

func (g *gate) queue(org string) *queue {
	q, ok := g.orgs[org]
	if !ok {
		g.dropIdle()
		q = new(queue)
		g.orgs[org] = q
	}
	return q
}

func (g *gate) dropIdle() {
	if len(g.orgs) < maxIdleQueues {
		return
	}
	for org, q := range g.orgs {
		if q.waiting == 0 {
			delete(g.orgs, org)
		}
	}
}

func (q *queue) retry(now time.Time) time.Duration {
	perSecond := q.drained.read(now)
	if perSecond <= 0 {
		return unknownRetry
	}
	seconds := min(float64(q.waiting+1)/perSecond, maxRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetry)
}
