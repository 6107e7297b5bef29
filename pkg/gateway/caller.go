package gateway

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// WithConn is a server's hook that lets requests look at their connection.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
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
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
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
