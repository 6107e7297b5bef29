package forward

import (
	"context"
	"sync"
	"time"
)

// pool keeps the idle connections to one instance, the most recently used first.
type pool struct {
	addr string

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// take gives a kept connection, or a new one.
func (p *pool) take(ctx context.Context, now time.Time) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return dial(ctx, p.addr)
		}
		if now.Before(c.until) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
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
	return c
}

// put keeps c for later use.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
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

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
