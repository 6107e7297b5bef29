package booking

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// Fleet is what a Client needs of the other routers.
type Fleet interface {
	// Keepers returns the routers that may keep calendars, and the address of this one; none where
	// HasKeepers is false.
	Keepers(now time.Time) (routers []Router, self string)
	// HasKeepers is false where the fleet is so small that all routers tell each other of their work.
	HasKeepers() bool
	// AskKeeper sends an ask to a router.
	AskKeeper(ctx context.Context, addr string, a Ask) (Answer, error)
}

const (
	// avoidFor is how long a keeper that didn't answer in time is avoided. Another router takes its
	// place meanwhile, with empty calendars. avoidFailedFor applies to one that refused the connection
	// or the ask: it has ended, or keeps no calendars.
	avoidFor       = time.Second
	avoidFailedFor = 5 * time.Second
	// minPatience is the shortest time that a router waits for an answer: less would blame keepers
	// for the way to them.
	minPatience = 20 * time.Millisecond
	// askTimeout bounds an ask; a router waits for the answer for a shorter time.
	askTimeout = time.Second
	// maxPending bounds the asks that are under way: beyond it keepers are slow, and asking more
	// would make them slower.
	maxPending = 256
)

// Errors of a Client.
const (
	errNoAnswer       = errors.ConstError("no answer in time")
	errBadAnswer      = errors.ConstError("the answer names no offer")
	errTooManyPending = errors.ConstError("too many asks are under way")
)

// Client asks keepers for bookings.
type Client struct {
	fleet Fleet
	book  *Book
	log   log.Interface

	mu sync.Mutex
	// avoided holds until when a keeper is avoided, by address.
	avoided map[string]time.Time
	pending int
	stats   Stats
}

// NewClient returns a client. book has the calendars that this router keeps.
func NewClient(f Fleet, book *Book, l log.Interface) *Client {
	return &Client{fleet: f, book: book, log: l, avoided: make(map[string]time.Time)}
}

// Result is what came of an ask.
type Result struct {
	Answer Answer
	// Asked is whether a keeper answered; without it the prompt is placed by the reports alone.
	Asked bool
	// Keeper is the address of the router that was asked; empty for none.
	Keeper string
}

// HasKeepers reports whether there is anybody to ask.
func (c *Client) HasKeepers() bool { return c.fleet.HasKeepers() }

// Book asks the keeper of a zone, and waits for its answer for patience, at least minPatience.
func (c *Client) Book(ctx context.Context, zone string, a Ask, patience time.Duration) Result {
	now := time.Now()
	result := c.decide(ctx, zone, a, patience, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.add(result, time.Since(now))
	return result
}

func (c *Client) decide(ctx context.Context, zone string, a Ask, patience time.Duration, now time.Time) Result {
	routers, self := c.fleet.Keepers(now)
	keeper := KeeperOf(routers, zone, func(addr string) bool { return c.usable(addr, now) })
	switch keeper {
	case "":
		return Result{}
	case self:
		answer := c.book.Decide(a, now)
		return Result{Answer: answer, Asked: answer.answers(&a), Keeper: self}
	}
	answer, err := c.ask(ctx, keeper, a, patience)
	if err != nil {
		c.avoid(ctx, keeper, err)
		return Result{Keeper: keeper}
	}
	return Result{Answer: answer, Asked: true, Keeper: keeper}
}

// reply is the answer of a keeper, or why there is none.
type reply struct {
	answer Answer
	err    error
}

// ask waits for an answer. A late answer isn't cancelled, as that would close the connection.
func (c *Client) ask(ctx context.Context, keeper string, a Ask, patience time.Duration) (Answer, error) {
	if !c.begin() {
		return Answer{}, errTooManyPending
	}
	replies := make(chan reply, 1)
	go func() {
		defer c.end()
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		defer cancel()
		answer, err := c.fleet.AskKeeper(bounded, keeper, a)
		if err == nil && !answer.answers(&a) {
			err = errBadAnswer
		}
		replies <- reply{answer, err}
	}()
	timer := time.NewTimer(max(patience, minPatience))
	defer timer.Stop()
	select {
	case r := <-replies:
		return r.answer, r.err
	case <-timer.C:
		return lastLook(replies)
	case <-ctx.Done():
		return Answer{}, errors.Trace(ctx.Err())
	}
}

// lastLook returns an answer that arrived while this router itself was late.
func lastLook(replies <-chan reply) (Answer, error) {
	select {
	case r := <-replies:
		return r.answer, r.err
	default:
		return Answer{}, errNoAnswer
	}
}

func (c *Client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending >= maxPending {
		return false
	}
	c.pending++
	return true
}

func (c *Client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

func (c *Client) usable(addr string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.avoided[addr])
}

// avoid remembers a keeper that gave no answer, unless the caller left meanwhile.
func (c *Client) avoid(ctx context.Context, keeper string, err error) {
	if ctx.Err() != nil || errors.Is(err, errTooManyPending) {
		return
	}
	span := avoidFailedFor
	if errors.Is(err, errNoAnswer) {
		span = avoidFor
	}
	now := time.Now()
	c.mu.Lock()
	first := !now.Before(c.avoided[keeper])
	c.avoided[keeper] = now.Add(span)
	c.mu.Unlock()
	if first {
		c.log.WithError(err).WithFields(log.Fields{"event": "keeper_avoided", "keeper": keeper, "for_ms": span.Milliseconds()}).Warn("keeper of bookings does not answer")
	}
}

// Prune forgets keepers that are no longer avoided, and calendars whose runs are over.
func (c *Client) Prune(now time.Time) {
	c.book.Prune(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, addr)
		}
	}
}
