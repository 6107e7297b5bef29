package admission

import (
	"container/list"
	"sync"
	"time"
)

const (
	// initialGrantInterval is the assumed time per connection until one was measured: that of a
	// request on a host with a fifth of a core.
	initialGrantInterval = time.Millisecond
	// burstTolerance is the time for which a queue may be long without being slow: a host with idle
	// CPU reads a burst within it.
	burstTolerance = 20 * time.Millisecond
	// grantIntervalWeight is the weight of a new sample in the moving average.
	grantIntervalWeight = 1.0 / 16
	// maxIntervalFactor bounds a sample, as a multiple of the mean: a process that was stalled for
	// a while, as by a CPU quota, isn't slow afterwards.
	maxIntervalFactor = 10
	// minIntervalSamples is the number of samples before the mean is used to estimate waits: as
	// many as the moving average covers.
	minIntervalSamples = int(1 / grantIntervalWeight)
	// minGrantInterval is the lower bound of the mean, as measured on a host with a whole core.
	minGrantInterval = 20 * time.Microsecond
)

// queue grants read slots to admitted connections, the oldest first.
//
// Left to the scheduler, a thousand connections accepted at once are a thousand goroutines that run
// in no particular order, and the work that was begun for earlier requests waits among them. With
// few slots that work goes on, and the wait of each connection can be estimated.
type queue struct {
	// slots is the number of read slots.
	slots int

	mu         sync.Mutex
	waiting    list.List // of *waiter, the oldest first
	slotsInUse int
	// grantInterval is the mean time between two grants while connections wait. lastGrant is the
	// time of the last grant, or when the queue last became non-empty.
	grantInterval time.Duration
	lastGrant     time.Time
	// samples is the number of samples in grantInterval, beyond its initial value.
	samples int
}

func newQueue(slots int) *queue { return &queue{slots: slots, grantInterval: initialGrantInterval} }

// admit adds an accepted connection to the queue.
func (q *queue) admit(now time.Time) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.Len() == 0 {
		q.lastGrant = now
	}
	w := &waiter{admittedAt: now, granted: make(chan struct{})}
	w.element = q.waiting.PushBack(w)
	return w
}

// request asks for a slot for t. t.granted is closed once t has it.
func (q *queue) request(w *waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.element != nil && !w.requested {
		w.requested = true
		q.grantSlots(now)
	}
}

// grantSlots grants free slots to the oldest waiters that have requested one.
func (q *queue) grantSlots(now time.Time) {
	for e := q.waiting.Front(); e != nil && q.slotsInUse < q.slots; {
		w, next := e.Value.(*waiter), e.Next()
		if w.requested {
			q.measure(w, now)
			q.waiting.Remove(e)
			w.element = nil
			w.holdsSlot = true
			q.slotsInUse++
			close(w.granted)
		}
		e = next
	}
}

// measure adds the time since the last grant to the mean. Waiters that are shed as they get their
// slot take next to no time and don't count.
func (q *queue) measure(w *waiter, now time.Time) {
	if now.Sub(w.admittedAt) <= maxReadWait {
		interval := min(now.Sub(q.lastGrant), maxIntervalFactor*q.grantInterval)
		q.grantInterval = max(minGrantInterval, q.grantInterval+time.Duration(grantIntervalWeight*float64(interval-q.grantInterval)))
		q.samples++
	}
	q.lastGrant = now
}

// release frees t's slot, or removes t from the queue when it has none.
func (q *queue) release(w *waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.element != nil {
		q.waiting.Remove(w.element)
		w.element = nil
		close(w.granted) // wakes a reader of a connection that is being closed
		return
	}
	if w.holdsSlot {
		w.holdsSlot = false
		q.slotsInUse--
		q.grantSlots(now)
	}
}

// estimatedWait returns how long a connection accepted now will wait: at least as long as the
// oldest waiter has waited, and one grant interval per waiter unless all of them are recent.
//
// A process that was stalled before its first read has no measured interval, and with the initial
// value a burst looks like a long wait: most of it would be shed on a host that can read it all at
// once. Until enough intervals are measured, only the elapsed wait counts.
func (q *queue) estimatedWait(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	oldest := q.waiting.Front()
	if oldest == nil {
		return 0
	}
	waited := now.Sub(oldest.Value.(*waiter).admittedAt)
	if waited < burstTolerance || q.samples < minIntervalSamples {
		return waited
	}
	return max(waited, time.Duration(q.waiting.Len())*q.grantInterval)
}

// resetIfIdle reports whether no connection waits or holds a slot, and if so discards a slow
// grantInterval.
func (q *queue) resetIfIdle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.Len() > 0 || q.slotsInUse > 0 {
		return false
	}
	if q.grantInterval > initialGrantInterval {
		q.grantInterval, q.samples = initialGrantInterval, 0
	}
	return true
}
