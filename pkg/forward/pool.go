package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// pool keeps the connections to one life of an instance. Idle ones are reused in last-in, first-out
// order.
type pool struct {
	addr  string
	meter *traffic.Meter
	stats *connStats
	// created is that of the Pools. idleUntil is the time since then until which the connection that
	// is used next may be used; 0 if none is idle.
	created   time.Time
	idleUntil atomic.Int64

	mu   sync.Mutex
	idle []*conn
	// busy holds the connections that calls are using.
	busy          map[*conn]struct{}
	reuseDisabled bool
	// used says that a connection was opened before.
	used bool
}

func newPool(addr string, m *traffic.Meter, s *connStats, created time.Time) *pool {
	return &pool{addr: addr, meter: m, stats: s, created: created, busy: make(map[*conn]struct{})}
}

// acquire returns an idle connection or else a new one. It is busy until release or discard.
func (p *pool) acquire(ctx context.Context, now time.Time) (*conn, error) {
	if c := p.takeIdle(now); c != nil {
		p.stats.add(reusedIdle)
		return c, nil
	}
	return p.dial(ctx, p.whyNoneIdle())
}

// takeIdle returns an idle connection that may be used, which is busy from then on; nil if there is none.
func (p *pool) takeIdle(now time.Time) *conn {
	for {
		c := p.popIdle()
		switch {
		case c == nil:
			return nil
		case !now.Before(c.idleDeadline):
			p.discard(c, closedIdle)
		case !c.healthy():
			p.discard(c, closedStale)
		default:
			return c
		}
	}
}

// dial opens a connection for a reason.
func (p *pool) dial(ctx context.Context, reason connEvent) (*conn, error) {
	// Guard: if the time were taken after the dial, it could be later than the start of a new life,
	// and abortOpenedBefore would spare a connection to the old life.
	opened := time.Now()
	c, err := dial(ctx, p.addr, p.meter)
	if err != nil {
		p.stats.add(openFailed)
		return nil, err
	}
	p.stats.add(reason)
	c.openedAt = opened
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[c], p.used = struct{}{}, true
	return c, nil
}

// probe returns an error if no connection can be opened. One that was opened is kept for reuse.
func (p *pool) probe(ctx context.Context) error {
	c, err := p.dial(ctx, openedProbe)
	if err != nil {
		return err
	}
	c.idleDeadline = time.Now().Add(defaultIdleTimeout)
	p.release(c)
	return nil
}

func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	p.updateIdleUntil()
	p.busy[c] = struct{}{}
	return c
}

// whyNoneIdle is why a connection has to be opened.
func (p *pool) whyNoneIdle() connEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.busy) > 0:
		return openedBusy
	case p.used:
		return openedNoneIdle
	}
	return openedFirst
}

// updateIdleUntil is called with the mutex held after each change of idle.
func (p *pool) updateIdleUntil() {
	until := int64(0)
	if n := len(p.idle); n > 0 {
		until = int64(p.idle[n-1].idleDeadline.Sub(p.created))
	}
	p.idleUntil.Store(until)
}

// release returns a busy connection to the pool for reuse.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	if p.reuseDisabled {
		p.stats.add(closedList)
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.updateIdleUntil()
}

// discard closes a busy connection for a reason.
func (p *pool) discard(c *conn, reason connEvent) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.unlisted {
		reason = closedList
	}
	p.stats.add(reason)
	delete(p.busy, c)
}

// closeExpired closes the idle connections whose deadline has passed.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleDeadline) {
			kept = append(kept, c)
			continue
		}
		p.stats.add(closedIdle)
		c.Close()
	}
	for i := len(kept); i < len(p.idle); i++ {
		p.idle[i] = nil
	}
	p.idle = kept
	p.updateIdleUntil()
}

// disableReuse closes the idle connections, and makes release close the busy ones.
func (p *pool) disableReuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDisabled = true
	for _, c := range p.idle {
		p.stats.add(closedList)
		c.Close()
	}
	p.idle = nil
	p.updateIdleUntil()
}

// enableReuse makes the pool keep connections again, because its life is listed.
func (p *pool) enableReuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDisabled = false
}

// abortOpenedBefore closes the busy connections that were opened before the given time.
func (p *pool) abortOpenedBefore(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.busy {
		if c.openedAt.Before(before) {
			c.unlisted = true
			c.Close()
		}
	}
}

// isEmpty reports whether the pool has no connections.
func (p *pool) isEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && len(p.busy) == 0
}
