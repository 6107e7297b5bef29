package edge

import (
	"context"
	"sync"
)

// flight counts requests in progress and remembers that the router drains.
type flight struct {
	mu       sync.Mutex
	running  int
	draining bool
	idle     chan struct{} // closed when draining and nothing runs
}

// enter counts a request unless the router drains. Counting and checking are one step,
// so that no request slips in after wait has seen none.
func (f *flight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.running++
	return true
}

func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	f.settle()
}

func (f *flight) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	f.idle = make(chan struct{})
	f.settle()
}

func (f *flight) settle() {
	if f.draining && f.running == 0 {
		close(f.idle)
	}
}

func (f *flight) state() (running int, draining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running, f.draining
}

// done is closed when nothing runs after drain; nil, and so never, before drain.
func (f *flight) done() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.idle
}

// Drain makes the edge refuse new requests as not run; those in progress go on.
func (e *Edge) Drain() { e.flight.drain() }

// InFlight is the number of requests in progress.
func (e *Edge) InFlight() int {
	n, _ := e.flight.state()
	return n
}

// Wait waits after Drain until no request is in progress, or ctx ends.
func (e *Edge) Wait(ctx context.Context) error {
	select {
	case <-e.flight.done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
