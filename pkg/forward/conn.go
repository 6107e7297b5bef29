package forward

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
	"github.com/flamingowind/flamingowind/internal/sockerr"
	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// Timeouts and sizes of connections to upstreams.
const (
	// dialTimeout bounds connecting, which normally takes a few milliseconds. An upstream whose
	// accept queue is full accepts seconds later, and another upstream is free long before that.
	dialTimeout = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a connection whose peer is
	// unreachable: probes are sent half a second apart after a second of silence.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout ends a connection if sent bytes aren't acknowledged for that long.
	userTimeout = 2500 * time.Millisecond
	// readBufferSize, in bytes, fits a response's header and most events.
	readBufferSize = 4 << 10
	// receiveBuffer is the size, in bytes, of what the kernel receives of a response before it is read, about. Behind a caller who
	// reads slowly it would grow to megabytes otherwise.
	receiveBuffer = 32 << 10
)

// Dialer returns a dialer for connections that fail, instead of hanging, when their peer becomes
// unreachable.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockErr error
			err := raw.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
}

// upstreamDialer returns a dialer for connections to upstreams.
func upstreamDialer() *net.Dialer {
	d := Dialer(dialTimeout)
	setTimeout := d.Control
	d.Control = func(network, addr string, raw syscall.RawConn) error {
		err := raw.Control(func(fd uintptr) {
			// Without it the kernel receives more at a time.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return setTimeout(network, addr, raw)
	}
	return d
}

// conn is a connection to an upstream. One request at a time uses it.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	meter  *traffic.Meter
	head   headReader
	reader *bufio.Reader
	// fresh is true until the first response has been read.
	fresh bool
	// openedAt is the time just before the connection was dialed.
	openedAt time.Time
	// idleDeadline is the time from which an idle connection must not be used.
	idleDeadline time.Time
	// unlisted says that the connection was closed because its upstream's life has ended. It is
	// guarded by the pool's mutex.
	unlisted bool
	// unanswered says that a request was sent of which no response has begun.
	unanswered atomic.Bool
	// isShut says that shutdown was called, after which the end of the stream counts as unacknowledged.
	isShut atomic.Bool
}

func dial(ctx context.Context, addr string, m *traffic.Meter) (*conn, error) {
	c, err := upstreamDialer().DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	wrapped, err := sockerr.Wrap(c.(*net.TCPConn))
	if err != nil {
		c.Close()
		return nil, err
	}
	raw, err := wrapped.SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	cn := &conn{Conn: wrapped, raw: raw, meter: m, fresh: true}
	cn.head.from = cn
	cn.reader = bufio.NewReaderSize(&cn.head, readBufferSize)
	return cn, nil
}

// Read reads from the connection and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Received(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent(n)
	return n, err
}

// healthy reports whether an idle connection is open and has nothing to read.
//
// Guard: the upstream may have closed the connection, or sent bytes after its last response. A
// request sent on such a connection would be lost, or those bytes would be taken for its response.
// A look at the socket's receive queue just before use detects both.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	healthy := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = err == unix.EAGAIN
		return true
	})
	return err == nil && healthy
}

// Close closes the connection.
//
// Guard: after an ordinary close, the network goes on delivering what was sent. A request that a partition
// holds up would run seconds after this router has given it up, so it is dropped with a reset. The
// receipt of bytes isn't proof that they have arrived: it may be that of a proxy on the way.
func (c *conn) Close() error {
	if !c.isShut.Load() {
		// The call fails only if the connection is closed already.
		_ = c.raw.Control(c.dropUnanswered)
	}
	return c.Conn.Close()
}

// shutdown closes both directions of the connection at once; the descriptor stays open until Close.
// The system calls don't block, so they are made without releasing the CPU to the runtime, which
// would put the goroutine at the end of its queue.
func (c *conn) shutdown() {
	// The call fails only if the connection is closed already.
	_ = c.raw.Control(func(fd uintptr) {
		c.dropUnanswered(fd)
		c.isShut.Store(true) // not sooner: Close may run meanwhile, and would leave the request to the network
		_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, fd, unix.SHUT_RDWR, 0)
	})
}

// dropUnanswered makes the close of the socket reset the connection if a request is unanswered or its bytes
// are unacknowledged.
func (c *conn) dropUnanswered(fd uintptr) {
	if c.unanswered.Load() || nowait.Unacknowledged(int(fd)) > 0 {
		nowait.ResetOnClose(int(fd))
	}
}
