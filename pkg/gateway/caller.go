package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

type connKey struct{}

// callerConn is a caller's connection and the number of requests that arrived on it.
type callerConn struct {
	// id is unique within the process.
	id int32
	// raw is nil for a connection without a socket.
	raw      syscall.RawConn
	requests atomic.Int64
	// singleUse is whether the connection is closed after one request.
	singleUse bool
	// watched is whether disconnectWatcher is told of the connection's close. The requests of one
	// connection are served one after the other, so it needs no lock.
	watched bool
}

// lastConnID is the ID of the newest caller connection. IDs repeat after 2^32 connections, when
// the earlier connection has long been closed.
var lastConnID atomic.Int32

// WithConn is a ConnContext hook for http.Server that gives requests access to their connection.
// A listener that wraps its connections has to pass on SyscallConn: without it, only the server
// notices that a caller left, and it does so late on an overloaded host.
func WithConn(ctx context.Context, c net.Conn) context.Context { return withConn(ctx, c, false) }

// WithHandover is WithConn for a server that takes over connections from other routers. Each
// connection carries one request: if it were kept alive, either of the two routers could lose
// the next request.
func WithHandover(ctx context.Context, c net.Conn) context.Context { return withConn(ctx, c, true) }

func withConn(ctx context.Context, c net.Conn, singleUse bool) context.Context {
	conn := &callerConn{id: lastConnID.Add(1), singleUse: singleUse}
	if socket, ok := c.(syscall.Conn); ok {
		// SyscallConn fails if the connection is already closed; its context ends soon then.
		conn.raw, _ = socket.SyscallConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// maxRequestsPerConn is the number of requests after which a caller's connection is closed. A
// typical caller sends that many in ten seconds.
const maxRequestsPerConn = 32

// countsAsLastRequest counts a request on its connection and reports whether the connection is to
// be closed after it.
//
// Guard: callers choose a router for each new connection and keep the connection. A caller that
// sends as much as fifty others would send all of it to the one router that it chose at random;
// reconnecting now and then spreads its requests over all routers.
func countsAsLastRequest(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && (c.requests.Add(1) >= maxRequestsPerConn || c.singleUse)
}

// callerConn returns the request's connection; nil for one that WithConn hasn't seen.
func (r *request) callerConn() *callerConn {
	c, _ := r.in.Context().Value(connKey{}).(*callerConn)
	return c
}

// entry returns the limits' entry of the request's connection; nil for none.
func (r *request) entry() *connlimit.Entry { return connlimit.FromContext(r.in.Context()) }

// callerClosedConn reports whether the caller has closed its connection.
//
// Guard: a request may wait in the kernel's queues until its caller has given up. The server
// detects the close in a goroutine beside the handler, and by then the handler would have
// forwarded the request, so that an engine would work for nobody. Checking the socket detects the
// close first, even if unread bytes of the caller precede it.
func callerClosedConn(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || c.raw == nil {
		return false
	}
	closed := false
	// RawConn.Control doesn't wait for the server's own read of the connection.
	err := c.raw.Control(func(fd uintptr) { closed = peerClosed(int32(fd)) })
	return closed || err != nil
}
