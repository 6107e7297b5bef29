package claimant

import (
	"sync"
	"time"
)

// Bounds of RetryAfter.
const (
	minRetry     = 100 * time.Millisecond
	maxRetry     = 30 * time.Second
	unknownRetry = time.Second // nothing has left the queue lately: the rate is unknown
	// maxIdleQueues bounds how many idle organisations' drain rates are remembered.
	maxIdleQueues = 4096
)

// admission bounds the waiting requests. It runs in the caller's goroutine, before the
// event loop's channel: a flood is refused without any work of the event loop, so it
// doesn't delay other requests.
type admission struct {
	mu         sync.Mutex
	maxWaiting int
	orgLimit   func(org string) int
	total      queue
	orgs       map[string]*queue
}

// queue counts waiting requests and the rate at which they leave.
type queue struct {
	waiting   int
	drainRate rate
}

func newAdmission(limit int, perOrg func(string) int) *admission {
	return &admission{maxWaiting: limit, orgLimit: perOrg, orgs: make(map[string]*queue)}
}

// enter admits a request, or refuses it with the time after which to retry.
//
// Besides its own limit an organisation may have at most as many requests waiting as
// places are free. With the total limit alone a few flooding organisations would fill the
// queue and all others would be refused; this way places stay free for the others.
func (a *admission) enter(org string, now time.Time) (retry time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queue(org)
	if q.waiting >= min(a.orgLimit(org), a.maxWaiting-a.total.waiting) {
		return q.retry(now), false
	}
	q.waiting++
	a.total.waiting++
	return 0, true
}

// leave counts the departure of an admitted request.
func (a *admission) leave(org string, granted bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queue(org)
	q.waiting--
	a.total.waiting--
	if granted {
		q.drainRate.add(now)
		a.total.drainRate.add(now)
	}
}

// retryAfter returns the time in which the organisation's queue is expected to drain.
func (a *admission) retryAfter(org string, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue(org).retry(now)
}

func (a *admission) queue(org string) *queue {
	q, ok := a.orgs[org]
	if !ok {
		a.dropIdle()
		q = new(queue)
		a.orgs[org] = q
	}
	return q
}

func (a *admission) dropIdle() {
	if len(a.orgs) < maxIdleQueues {
		return
	}
	for org, q := range a.orgs {
		if q.waiting == 0 {
			delete(a.orgs, org)
		}
	}
}

func (q *queue) retry(now time.Time) time.Duration {
	perSecond := q.drainRate.read(now)
	if perSecond <= 0 {
		return unknownRetry
	}
	seconds := min(float64(q.waiting+1)/perSecond, maxRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetry)
}
