package claimant

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Sizes of the event loop's channels.
const (
	callerQueueSize  = 1024
	messageQueueSize = 8192
)

// Claimant implements sched.Scheduler. Acquire is answered only while Run is running.
type Claimant struct {
	options   Options
	directory Directory
	sender    Sender
	admission *admission
	draining  atomic.Bool
	dropped   atomic.Uint64
	claims    atomic.Uint64
	ownClaims atomic.Uint64

	callerEvents chan event // from callers
	messages     chan event // from keepers
	wake         chan struct{}
	stopped      chan struct{}
}

var _ sched.Scheduler = (*Claimant)(nil)

// New returns a Claimant.
func New(d Directory, s Sender, o Options) *Claimant {
	o = o.withDefaults()
	return &Claimant{
		options:      o,
		directory:    d,
		sender:       s,
		admission:    newAdmission(o.MaxQueued, o.MaxQueuedPerOrg),
		callerEvents: make(chan event, callerQueueSize),
		messages:     make(chan event, messageQueueSize),
		wake:         make(chan struct{}, 1),
		stopped:      make(chan struct{}),
	}
}

// Acquire implements sched.Scheduler.
func (c *Claimant) Acquire(ctx context.Context, r sched.Request) (sched.Slot, error) {
	now := time.Now()
	if c.draining.Load() {
		return nil, draining(c.entries())
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return nil, deadlinePassed(c.admission.retryAfter(r.Org, now))
	}
	if retry, ok := c.admission.enter(r.Org, now); !ok {
		return nil, overloaded(retry)
	}
	s, err := c.waitForSlot(ctx, newWaiter(r, now))
	c.admission.leave(r.Org, s != nil, time.Now())
	if err != nil {
		return nil, err
	}
	return s, nil
}

// waitForSlot queues a waiter and returns its slot or its error.
func (c *Claimant) waitForSlot(ctx context.Context, w *waiter) (*slot, *verdict.Error) {
	expired, stop := deadlineTimer(w.req.Deadline)
	defer stop()
	select {
	case c.callerEvents <- joinEvent{w}:
	case <-ctx.Done():
		return nil, contextEnded(ctx, c.retryAfter(w))
	case <-expired:
		return nil, deadlinePassed(c.retryAfter(w))
	case <-c.stopped:
		return nil, draining(c.entries())
	}
	select {
	case a := <-w.answer:
		return a.slot, a.err
	case <-ctx.Done():
		return nil, c.giveUp(w, contextEnded(ctx, c.retryAfter(w)))
	case <-expired:
		return nil, c.giveUp(w, deadlinePassed(c.retryAfter(w)))
	case <-c.stopped:
		return nil, c.giveUp(w, draining(c.entries()))
	}
}

// giveUp withdraws a waiter. A slot that arrives at the same moment is returned.
func (c *Claimant) giveUp(w *waiter, err *verdict.Error) *verdict.Error {
	if w.leave() {
		c.sendEvent(leaveEvent{w})
		return err
	}
	if a := <-w.answer; a.slot != nil {
		a.slot.Done(wire.OutcomeUnused, 0, 0, 0)
	}
	return err
}

// sendEvent passes a caller's event to the event loop, which never blocks for long.
func (c *Claimant) sendEvent(e event) {
	select {
	case c.callerEvents <- e:
	case <-c.stopped:
	}
}

func (c *Claimant) retryAfter(w *waiter) time.Duration {
	return c.admission.retryAfter(w.req.Org, time.Now())
}

func (c *Claimant) entries() []string {
	if c.options.Entries == nil {
		return nil
	}
	return c.options.Entries()
}

// deadlineTimer returns a channel that receives at the deadline, or never for the zero
// time, and the function that stops its timer.
func deadlineTimer(deadline time.Time) (<-chan time.Time, func() bool) {
	if deadline.IsZero() {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(time.Until(deadline))
	return t.C, t.Stop
}

// Drain refuses new requests from now on; waiting ones are still served.
func (c *Claimant) Drain() { c.draining.Store(true) }

// Waiting returns the number of requests that wait here.
func (c *Claimant) Waiting() int {
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	return c.admission.total.waiting
}

// Claims returns the number of claim copies sent, and how many of them went to cells that
// this router keeps itself.
func (c *Claimant) Claims() (all, own uint64) { return c.claims.Load(), c.ownClaims.Load() }

// Dropped returns the number of keepers' messages dropped because the event loop was behind.
func (c *Claimant) Dropped() uint64 { return c.dropped.Load() }
