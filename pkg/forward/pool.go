package forward

import (
	"context"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// pool keeps the connections to one life of an instance, the idle ones with the most recently
// used first.
type pool struct {
	addr  string
	meter *traffic.Meter

	mu   sync.Mutex
	idle []*conn
	// busy are the connections that attempts use.
	busy   map[*conn]struct{}
	closed bool
	// leaving is whether the instance is about to end, or no longer listed.
	leaving bool
}

func newPool(addr string, m *traffic.Meter) *pool {
	return &pool{addr: addr, meter: m, busy: make(map[*conn]struct{})}
}

// take gives a kept connection, or a new one, which is busy until put or done.
func (p *pool) take(ctx context.Context, now time.Time) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if now.Before(c.until) && c.quiet() {
			return c, nil
		}
		p.done(c)
	}
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	// Guard: taken after the dial, the time could lie after the start of a new life that
	// hasn't taken the connection yet; end would spare one that the old life holds.
	opened := time.Now()
	c, err := dial(ctx, p.addr, p.meter)
	if err != nil {
		return nil, err
	}
	c.opened = opened
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[c] = struct{}{}
	return c, nil
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	p.busy[c] = struct{}{}
	return c
}

// put keeps c for later use.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// done closes a busy connection.
func (p *pool) done(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
}

// sweep closes the connections that are past their time.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.until) {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	for i := len(kept); i < len(p.idle); i++ {
		p.idle[i] = nil
	}
	p.idle = kept
}

// close closes the idle connections, now and as attempts give theirs back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.leaving = true, true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// open makes the pool keep connections again, for a life that is on the list.
func (p *pool) open(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.leaving = false, leaving
}

func (p *pool) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

// end breaks off the attempts on connections that were opened before the given time.
func (p *pool) end(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.busy {
		if c.opened.Before(before) {
			c.Close()
		}
	}
}

// unused reports whether nothing is left of the pool.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && len(p.busy) == 0
}
