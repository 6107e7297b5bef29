package placement

import (
	"sync"
	"time"
)

// RetryBudget bounds the retries that a router sends to a service, as a part of the requests for
// it.
//
// When a service fails, retries add to a load that it can't serve already, and keep it down. Each
// router has its own part of one budget for the whole fleet: a part of the requests that it
// received, and an equal part of the fleet's allowance.
type RetryBudget struct {
	mu           sync.Mutex
	ratio        float64
	allowance    float64
	windowLength time.Duration
	windows      map[string]*window
}

// Set allows ratio retries for each request, and allowance further ones over all routers, in each
// window of windowLength.
func (b *RetryBudget) Set(ratio, allowance float64, windowLength time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.allowance, b.windowLength = ratio, allowance, windowLength
}

// usableShare is the part of the budget that is used: windows slide, and those of different routers
// don't begin at the same time.
const usableShare = 0.7

// window counts in two halves, so that counts older than a window are dropped.
type window struct {
	start             time.Time
	requests, retries [2]float64
}

func (b *RetryBudget) window(service string, now time.Time) *window {
	if b.windows == nil {
		b.windows = make(map[string]*window)
	}
	w := b.windows[service]
	if w == nil {
		w = &window{start: now}
		b.windows[service] = w
	}
	for now.Sub(w.start) >= b.windowLength/2 {
		w.requests = [2]float64{0, w.requests[0]}
		w.retries = [2]float64{0, w.retries[0]}
		w.start = w.start.Add(b.windowLength / 2)
		if now.Sub(w.start) > 2*b.windowLength {
			*w = window{start: now}
		}
	}
	return w
}

// CountRequest counts a caller's request for a service.
func (b *RetryBudget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service, now).requests[0]++
}

// AllowRetry reports whether a retry may be sent, and counts it if so. routers is the number of
// routers that share the allowance.
func (b *RetryBudget) AllowRetry(service string, routers int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	allowed := b.ratio*(w.requests[0]+w.requests[1]) + b.allowance/float64(max(1, routers))
	if w.retries[0]+w.retries[1]+1 > usableShare*allowed {
		return false
	}
	w.retries[0]++
	return true
}
