package dispatch

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

const errDropped = errors.ConstError("the connection was dropped")

// conn asks the gate of the attempt that holds it before each write.
type conn struct {
	net.Conn
	readFailed atomic.Bool // a read met the connection's end

	mu      sync.Mutex
	gate    *gate
	dropped bool
}

// Read notes the connection's end: a head cut by it is reported by net/http as malformed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readFailed.Store(true)
	}
	return n, err
}

// Write passes p on when the gate allows; without a gate (a TLS handshake) it always does.
func (c *conn) Write(p []byte) (int, error) {
	g, dropped := c.state()
	if dropped {
		return 0, errDropped
	}
	if g != nil {
		if err := g.admitWrite(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

func (c *conn) state() (*gate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate, c.dropped
}

func (c *conn) setGate(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = g
}

// dropFor closes the connection if g still holds it. An answer without a body is back in
// the pool before its head is checked: another attempt may hold the connection by now,
// and then checks its own answer; one that takes it later meets dropped before its
// first byte.
func (c *conn) dropFor(g *gate) {
	c.mu.Lock()
	current := c.gate == g
	c.dropped = c.dropped || current
	c.mu.Unlock()
	if current {
		_ = c.Close()
	}
}

// attach puts g before the writes of the connection that the transport chose.
func (g *gate) attach(info httptrace.GotConnInfo) {
	inner := info.Conn
	if t, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = t.NetConn()
	}
	if c, ok := inner.(*conn); ok {
		c.setGate(g)
	}
	g.mu.Lock()
	g.reused = info.Reused
	g.mu.Unlock()
}
