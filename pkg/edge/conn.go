package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// conn is a caller's connection, which may be reset in place of closed.
type conn struct {
	*net.TCPConn
	broken atomic.Bool
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.broken.Load() {
		// Without the option the close is an ordinary one.
		_ = c.SetLinger(0)
	}
	return c.TCPConn.Close()
}

// RemoteAddr leads back to the connection: the limit of connections wraps it in a type of its own.
func (c *conn) RemoteAddr() net.Addr { return connAddr{Addr: c.TCPConn.RemoteAddr(), conn: c} }

type connAddr struct {
	net.Addr
	conn *conn
}

// listener takes callers' connections.
type listener struct{ net.Listener }

// Accept waits for the next one.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp}, nil
	}
	return c, nil
}

type connKey struct{}

// withConn lets handlers find their connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if addr, ok := c.RemoteAddr().(connAddr); ok {
		return context.WithValue(ctx, connKey{}, addr.conn)
	}
	return ctx
}

// breakOff ends the handler and breaks the answer off. To a caller of HTTP/1.0 a stream ends with its
// connection, and one that is closed in order looks complete.
func breakOff(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && !r.ProtoAtLeast(1, 1) {
		c.broken.Store(true)
	}
	panic(http.ErrAbortHandler)
}
