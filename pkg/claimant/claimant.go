package claimant

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Sizes of the duty's channels.
const (
	callQueue    = 1024
	messageQueue = 8192
)

// Claimant implements sched.Scheduler. Run must be running for Acquire to be answered.
type Claimant struct {
	options   Options
	directory Directory
	sender    Sender
	gate      *gate
	draining  atomic.Bool
	lost      atomic.Uint64
	claims    atomic.Uint64
	own       atomic.Uint64

	calls    chan event // from callers
	messages chan event // from keepers
	wake     chan struct{}
	stopped  chan struct{}
}

var _ sched.Scheduler = (*Claimant)(nil)

// New returns a Claimant.
func New(d Directory, s Sender, o Options) *Claimant {
	o = o.withDefaults()
	return &Claimant{
		options:   o,
		directory: d,
		sender:    s,
		gate:      newGate(o.MaxQueued, o.OrgQueued),
		calls:     make(chan event, callQueue),
		messages:  make(chan event, messageQueue),
		wake:      make(chan struct{}, 1),
		stopped:   make(chan struct{}),
	}
}

// Acquire implements sched.Scheduler.
func (c *Claimant) Acquire(ctx context.Context, r sched.Request) (sched.Slot, error) {
	now := time.Now()
	if c.draining.Load() {
		return nil, draining(c.entries())
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return nil, deadlinePassed(c.gate.retryAfter(r.Org, now))
	}
	if retry, ok := c.gate.enter(r.Org, now); !ok {
		return nil, overloaded(retry)
	}
	s, err := c.wait(ctx, newTicket(r, now))
	c.gate.leave(r.Org, s != nil, time.Now())
	if err != nil {
		return nil, err
	}
	return s, nil
}

// wait queues a ticket and returns its slot or its error.
func (c *Claimant) wait(ctx context.Context, t *ticket) (*slot, *verdict.Error) {
	expired, stop := expiry(t.req.Deadline)
	defer stop()
	select {
	case c.calls <- joined{t}:
	case <-ctx.Done():
		return nil, contextEnded(ctx, c.retryAfter(t))
	case <-expired:
		return nil, deadlinePassed(c.retryAfter(t))
	case <-c.stopped:
		return nil, draining(c.entries())
	}
	select {
	case a := <-t.answer:
		return a.slot, a.err
	case <-ctx.Done():
		return nil, c.giveUp(t, contextEnded(ctx, c.retryAfter(t)))
	case <-expired:
		return nil, c.giveUp(t, deadlinePassed(c.retryAfter(t)))
	case <-c.stopped:
		return nil, c.giveUp(t, draining(c.entries()))
	}
}

// giveUp withdraws a ticket. An answer that came at the same moment is given back.
func (c *Claimant) giveUp(t *ticket, err *verdict.Error) *verdict.Error {
	if t.leave() {
		c.call(left{t})
		return err
	}
	if a := <-t.answer; a.slot != nil {
		a.slot.Done(wire.OutcomeUnused, 0, 0, 0)
	}
	return err
}

// call passes a caller's event to the duty, which always takes it soon.
func (c *Claimant) call(e event) {
	select {
	case c.calls <- e:
	case <-c.stopped:
	}
}

func (c *Claimant) retryAfter(t *ticket) time.Duration {
	return c.gate.retryAfter(t.req.Org, time.Now())
}

func (c *Claimant) entries() []string {
	if c.options.Entries == nil {
		return nil
	}
	return c.options.Entries()
}

// expiry is a channel that gets a value at the deadline; never for the zero time.
func expiry(deadline time.Time) (<-chan time.Time, func() bool) {
	if deadline.IsZero() {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(time.Until(deadline))
	return t.C, t.Stop
}

// Drain refuses new requests from now on; waiting ones are still served.
func (c *Claimant) Drain() { c.draining.Store(true) }

// Waiting is the number of requests that wait here.
func (c *Claimant) Waiting() int {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.total.waiting
}

// Claims counts the copies of claims sent, and those of them to this router's own cells.
func (c *Claimant) Claims() (all, own uint64) { return c.claims.Load(), c.own.Load() }

// Lost is the number of keepers' messages dropped because the duty was behind.
func (c *Claimant) Lost() uint64 { return c.lost.Load() }
