package dispatch

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/responsehead"
	"github.com/flamingowind/flamingowind/internal/sockerr"
)

const errDropped = errors.ConstError("the connection was dropped")

// conn asks the gate of the attempt that uses it before each write.
type conn struct {
	net.Conn
	readFailed atomic.Bool // a read returned an error
	unanswered atomic.Bool // bytes were written since the last were read

	mu      sync.Mutex
	gate    *gate
	dropped bool
	framing responsehead.FramingCheck // of the response to the gate's request
}

// Read records the end of the connection, because net/http reports a header that it truncates as
// malformed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readFailed.Store(true)
	}
	if n > 0 {
		c.unanswered.Store(false)
		c.readFraming(p[:n])
	}
	return n, err
}

func (c *conn) readFraming(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.Read(p, maxResponseHeader)
}

// checkFraming checks the framing of the response to g's request, unless another request uses the connection by now.
func (c *conn) checkFraming(g *gate) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate != g {
		return nil
	}
	defer c.framing.Skip()
	return c.framing.Check()
}

// Close closes the connection, with a reset if a request on it is unanswered: after an ordinary close, the
// network would still deliver a request that a partition holds up.
func (c *conn) Close() error {
	if t, ok := c.Conn.(*sockerr.Conn); ok && c.unanswered.Load() {
		_ = t.NetConn().SetLinger(0) // fails only if the connection is closed already
	}
	return c.Conn.Close()
}

// Write writes p if the gate admits it. Without a gate, as during a TLS handshake, it always
// writes.
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
	c.unanswered.Store(true)
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
	c.framing.Reset()
}

// dropFor closes the connection if g is still its gate. A response without a body returns its
// connection to the pool before its header is checked. If another attempt uses the connection by
// then, it checks its own response; one that takes it later fails before its first byte.
func (c *conn) dropFor(g *gate) {
	c.mu.Lock()
	current := c.gate == g
	c.dropped = c.dropped || current
	c.mu.Unlock()
	if current {
		_ = c.Close()
	}
}

// attach makes g the gate of the connection that the transport chose.
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
