package modelnet

import (
	"sync"
	"time"
)

// Host is a host with a link of its own.
type Host struct {
	// speed is that of the link in each direction, in bytes a second.
	speed float64

	mu sync.Mutex
	// queued is how long what comes waits behind others' bytes.
	queued time.Duration
	// still is until when nothing is sent, nor read of what has come.
	still time.Time
	// free is when what came so far has passed the link.
	free time.Time
}

// NewHost returns a host with a link of so many bytes a second.
func NewHost(speed float64) *Host { return &Host{speed: speed} }

// Crowd makes what comes to the host wait for so long behind bytes that others send it.
func (h *Host) Crowd(wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queued = wait
}

// StandStill makes the host send nothing and what comes to it wait unread for so long, as at a process that doesn't
// run: connections open, and what was sent over one that its sender has closed is still read.
func (h *Host) StandStill(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.still = time.Now().Add(d)
}

// standing is how long what has come waits.
func (h *Host) standing() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(h.still)
}

// wait is how long a small packet that comes now waits.
func (h *Host) wait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.queued, time.Until(h.free))
}

// arrival is when n bytes that are sent now have come.
func (h *Host) arrival(n int) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	begins := time.Now().Add(delay + h.queued)
	if h.free.After(begins) {
		begins = h.free
	}
	h.free = begins.Add(time.Duration(float64(n) / h.speed * float64(time.Second)))
	return h.free
}
