package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// callerConn is a caller's connection with the number of requests that came on it.
type callerConn struct {
	net.Conn
	requests atomic.Int64
}

// WithConn is a server's hook that lets requests look at their connection.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{Conn: c})
}

// mostRequests is the number of requests after which a caller's connection is closed. A
// usual caller sends so many in ten seconds.
const mostRequests = 32

// wornOut counts a request on its connection, and reports whether it should be the last.
//
// Guard: callers choose a router for each new connection and keep it. One that sends as
// much as fifty others on kept connections sends it all to the one router that it chose by
// chance; made to choose again now and then, it spreads over all.
func wornOut(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.requests.Add(1) >= mostRequests
}

// callerLeft reports whether the caller has closed its connection.
//
// Guard: a request may wait in the kernel's queues until its caller has given up. The
// server finds that out only beside the handler, which by then would have sent the
// request on, and an engine would work for nobody. A look at the socket shows it first.
func callerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	kept, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return false
	}
	c, ok := kept.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed
	}
	left := false
	// RawConn.Control doesn't wait for the server's own reading of the connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = n == 0 && err == nil || err == unix.ECONNRESET
	})
	return left || err != nil
}
