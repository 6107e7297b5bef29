package edge

import (
	"net/http"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Bounds of the time told to a refused caller.
const (
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	unknownRetryAfter = time.Second
)

// admission bounds the requests that wait, by organisation and in all, before any of
// their body is read: a flood fills its own organisation's bound and is then refused
// for the cost of reading its headers.
type admission struct {
	mu    sync.Mutex
	max   int
	total int
	orgs  map[string]*queued
}

func newAdmission(max int) *admission {
	return &admission{max: max, orgs: make(map[string]*queued)}
}

// enter takes a place in org's queue, or refuses with the time after which there may be room.
//
// Guard: one organisation may hold at most as many places as are free, besides its own bound. A flood
// that comes all at once, as when the router stood still, would otherwise have the others refused.
func (a *admission) enter(org Org, now time.Time) (*place, *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.orgs[org.Name]
	if q == nil {
		q = new(queued)
		a.orgs[org.Name] = q
	}
	bound := org.MaxQueued
	if bound <= 0 {
		bound = resource.DefaultMaxQueued
	}
	if q.waiting >= bound {
		return nil, overloaded("the organisation has too many waiting requests", q.retryAfter())
	}
	if q.waiting >= a.max-a.total {
		return nil, overloaded("this router has too many waiting requests", q.retryAfter())
	}
	a.total++
	q.enter(now)
	return &place{admission: a, queue: q}, nil
}

func overloaded(message string, after time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusTooManyRequests, verdict.CodeOverloaded, message).WithRetryAfter(after)
}

// place is one waiting request's share of the bounds.
type place struct {
	admission *admission
	queue     *queued
	left      bool
}

// leave gives the place back; further calls do nothing.
func (p *place) leave(now time.Time) {
	p.admission.mu.Lock()
	defer p.admission.mu.Unlock()
	if p.left {
		return
	}
	p.left = true
	p.admission.total--
	p.queue.leave(now)
}
