package booking

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
)

// Fleet is what a Desk needs of the other routers.
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

// Errors of a Desk.
const (
	errNoAnswer   = errors.ConstError("no answer in time")
	errBadAnswer  = errors.ConstError("the answer names no offer")
	errTooPending = errors.ConstError("too many asks are under way")
)

// Desk asks keepers for bookings.
type Desk struct {
	fleet Fleet
	book  *Book
	log   log.Interface

	mu sync.Mutex
	// avoided holds until when a keeper is avoided, by address.
	avoided map[string]time.Time
	pending int
	stats   Stats
}

// NewDesk returns a desk. book has the calendars that this router keeps.
func NewDesk(f Fleet, book *Book, l log.Interface) *Desk {
	return &Desk{fleet: f, book: book, log: l, avoided: make(map[string]time.Time)}
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
func (d *Desk) HasKeepers() bool { return d.fleet.HasKeepers() }

// Book asks the keeper of a zone, and waits for its answer for patience, at least minPatience.
func (d *Desk) Book(ctx context.Context, zone string, a Ask, patience time.Duration) Result {
	now := time.Now()
	result := d.decide(ctx, zone, a, patience, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.add(result, time.Since(now))
	return result
}

func (d *Desk) decide(ctx context.Context, zone string, a Ask, patience time.Duration, now time.Time) Result {
	routers, self := d.fleet.Keepers(now)
	keeper := KeeperOf(routers, zone, func(addr string) bool { return d.usable(addr, now) })
	switch keeper {
	case "":
		return Result{}
	case self:
		answer := d.book.Decide(a, now)
		return Result{Answer: answer, Asked: answer.answers(&a), Keeper: self}
	}
	answer, err := d.ask(ctx, keeper, a, patience)
	if err != nil {
		d.avoid(ctx, keeper, err)
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
func (d *Desk) ask(ctx context.Context, keeper string, a Ask, patience time.Duration) (Answer, error) {
	if !d.begin() {
		return Answer{}, errTooPending
	}
	replies := make(chan reply, 1)
	go func() {
		defer d.end()
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		defer cancel()
		answer, err := d.fleet.AskKeeper(bounded, keeper, a)
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

func (d *Desk) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending >= maxPending {
		return false
	}
	d.pending++
	return true
}

func (d *Desk) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending--
}

func (d *Desk) usable(addr string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.avoided[addr])
}

// avoid remembers a keeper that gave no answer, unless the caller left meanwhile.
func (d *Desk) avoid(ctx context.Context, keeper string, err error) {
	if ctx.Err() != nil || errors.Is(err, errTooPending) {
		return
	}
	span := avoidFailedFor
	if errors.Is(err, errNoAnswer) {
		span = avoidFor
	}
	now := time.Now()
	d.mu.Lock()
	first := !now.Before(d.avoided[keeper])
	d.avoided[keeper] = now.Add(span)
	d.mu.Unlock()
	if first {
		d.log.WithError(err).WithFields(log.Fields{"event": "keeper_avoided", "keeper": keeper, "for_ms": span.Milliseconds()}).Warn("keeper of bookings does not answer")
	}
}

// Prune forgets keepers that are no longer avoided, and calendars whose runs are over.
func (d *Desk) Prune(now time.Time) {
	d.book.Prune(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, until := range d.avoided {
		if !now.Before(until) {
			delete(d.avoided, addr)
		}
	}
}
