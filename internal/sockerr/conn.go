// Package sockerr keeps the error that ends a TCP connection from passing for the end of its stream.
//
// The kernel reports such an error once, to whichever system call comes first. Where one goroutine writes and
// another one reads, the write may take the report of a reset; the read then sees an ordinary end.
package sockerr

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
)

// Conn is a TCP connection whose Read returns io.EOF only if its peer has ended the stream in order.
type Conn struct {
	net.Conn
	tcp *net.TCPConn
	raw syscall.RawConn

	// writing is held during each write, and guards writeErr.
	writing sync.Mutex
	// writeErr is the error of the connection that a write has taken.
	writeErr error
}

// Wrap returns a Conn over c, which must only be used through it from then on.
func Wrap(c *net.TCPConn) (*Conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Conn{Conn: c, tcp: c, raw: raw}, nil
}

// SyscallConn returns the connection's descriptor. The error of a write that is made on it isn't known to Read.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// NetConn returns the wrapped connection, for its socket options.
func (c *Conn) NetConn() *net.TCPConn { return c.tcp }

// Read reads from the connection. At the end of the stream it returns the error of the connection if a write
// has taken it.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && c.hungUp() {
		err = c.ending()
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && isConnError(err) {
		c.writeErr = err
	}
	return n, err
}

// hungUp reports whether the connection can't be written to any more either. After an ordinary end it can.
func (c *Conn) hungUp() bool {
	hungUp := false
	err := c.raw.Control(func(fd uintptr) { hungUp = nowait.Poll(int32(fd), 0)&unix.POLLHUP != 0 })
	return hungUp || err != nil
}

// ending returns what ended a connection that has hung up. A write on such a connection returns at once, so
// waiting for the one that may have taken the error is short.
func (c *Conn) ending() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}

// isConnError reports whether a write has taken the error that ended the connection. After EPIPE it has not:
// the stream had ended before, as that of a peer which answers early and doesn't read the rest of a request.
func isConnError(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}
