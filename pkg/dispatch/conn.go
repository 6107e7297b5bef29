package dispatch

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// conn asks the gate of the attempt that holds it before each write.
type conn struct {
	net.Conn
	gate  atomic.Pointer[gate]
	ended atomic.Bool // a read met the connection's end
}

// Read notes the connection's end: a head cut by it is reported by net/http as malformed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

// Write passes p on when the gate allows; without a gate (a TLS handshake) it always does.
func (c *conn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.pass(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// arm puts g before the writes of the connection that the transport chose.
func (g *gate) arm(info httptrace.GotConnInfo) {
	inner := info.Conn
	if t, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = t.NetConn()
	}
	if c, ok := inner.(*conn); ok {
		c.gate.Store(g)
	}
}
