package placement

import (
	"sync"
	"time"
)

// Budget bounds the repeats that a router sends to a service, as a share of the requests
// for it.
//
// Guard: when a service fails, repeats come on top of what it can't serve already, and
// keep it down. The budget is the router's own part of one for the whole fleet: a share
// of the requests that came through it, and of the slack as many as there are routers.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	length   time.Duration
	services map[string]*window
}

// Set allows ratio repeats for each request, and slack beside them over all routers, in
// each window of that length.
func (b *Budget) Set(ratio, slack float64, length time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack, b.length = ratio, slack, length
}

// budgetShare is the part of the budget that is used: windows slide, and ours don't
// begin where those of others do.
const budgetShare = 0.7

// window counts in two halves, so that what is older than a window is forgotten.
type window struct {
	start             time.Time
	requests, repeats [2]float64
}

func (b *Budget) of(service string, now time.Time) *window {
	if b.services == nil {
		b.services = make(map[string]*window)
	}
	w := b.services[service]
	if w == nil {
		w = &window{start: now}
		b.services[service] = w
	}
	for now.Sub(w.start) >= b.length/2 {
		w.requests = [2]float64{0, w.requests[0]}
		w.repeats = [2]float64{0, w.repeats[0]}
		w.start = w.start.Add(b.length / 2)
		if now.Sub(w.start) > 2*b.length {
			*w = window{start: now}
		}
	}
	return w
}

// Request counts a caller's request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service, now).requests[0]++
}

// Repeat reports whether one more attempt may be sent, and counts it if so. routers is
// the number of routers that share the slack.
func (b *Budget) Repeat(service string, routers int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(service, now)
	allowed := b.ratio*(w.requests[0]+w.requests[1]) + b.slack/float64(max(1, routers))
	if w.repeats[0]+w.repeats[1]+1 > budgetShare*allowed {
		return false
	}
	w.repeats[0]++
	return true
}
