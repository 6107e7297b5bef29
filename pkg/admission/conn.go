package admission

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

// Conn is an admitted connection. It embeds *net.TCPConn for callers that inspect the socket.
type Conn struct {
	*net.TCPConn
	listener *Listener
	waiter   *waiter
	// entry is nil where connections aren't limited.
	entry     *connlimit.Entry
	firstRead sync.Once
	// owner is the side that may use the socket and must close it. Ownership passes once: if both
	// sides closed the descriptor, the second close could hit a descriptor that another connection
	// reuses.
	owner atomic.Int32
}

// Owners of a connection's socket.
const (
	ownedByServer int32 = iota
	ownedByRefuser
	ownedByNone // closed
)

// Entry returns the connection's entry in its group.
func (c *Conn) Entry() *connlimit.Entry { return c.entry }

// Read reads from the connection. The first call waits for a read slot. Once the connection has to make room for others, or has
// been refused, it fails as by a deadline: the server closes it without a response.
func (c *Conn) Read(b []byte) (int, error) {
	first := false
	c.firstRead.Do(func() {
		first = true
		c.awaitReadSlot()
	})
	if c.owner.Load() == ownedByRefuser {
		// On any other error the server answers that the request is malformed.
		return 0, io.EOF
	}
	if c.entry.Closing() {
		return 0, os.ErrDeadlineExceeded
	}
	if first {
		if n := c.readAvailable(b); n > 0 {
			return c.received(b[:n], nil)
		}
	}
	// A connection that is opened before its request would hold its slot for as long as it is idle,
	// and a few of them would block all others.
	c.ReleaseReadSlot()
	n, err := c.TCPConn.Read(b)
	c.listener.meter.Received(n)
	return c.received(b[:n], err)
}

// received passes on what was read, unless it belongs to a request that there is no memory for. That one is refused.
func (c *Conn) received(b []byte, err error) (int, error) {
	if c.entry.Received(b) {
		return len(b), err
	}
	if c.owner.CompareAndSwap(ownedByServer, ownedByRefuser) {
		c.listener.refuseBegun(c.TCPConn)
	}
	return 0, os.ErrDeadlineExceeded
}

// SetReadDeadline sets the deadline, unless the connection has to make room for others.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.entry.Closing() {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.entry.BeginWrite()
	defer c.entry.EndWrite()
	n, err := c.TCPConn.Write(b)
	c.listener.meter.Sent(n)
	return n, err
}

// awaitReadSlot waits for a read slot, and sheds the connection when that took too long.
func (c *Conn) awaitReadSlot() {
	c.listener.queue.request(c.waiter, c.listener.now())
	<-c.waiter.granted
	now := c.listener.now()
	if now.Sub(c.waiter.admittedAt) <= maxReadWait {
		return
	}
	c.ReleaseReadSlot()
	if c.owner.CompareAndSwap(ownedByServer, ownedByRefuser) {
		c.listener.shed(c.TCPConn, now)
	}
}

// readAvailable reads without blocking what has arrived; it returns 0 when there is nothing.
func (c *Conn) readAvailable(b []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0 // closed; the next read reports it
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _ = unix.Read(int(fd), b) // the next read reports an error again
		return true
	})
	if err != nil {
		return 0
	}
	c.listener.meter.Received(n)
	return max(n, 0)
}

// ReleaseReadSlot releases the connection's read slot once its request is read.
func (c *Conn) ReleaseReadSlot() { c.listener.queue.release(c.waiter, c.listener.now()) }

// Close closes the connection, unless the refuser owns it.
func (c *Conn) Close() error {
	c.ReleaseReadSlot()
	if !c.owner.CompareAndSwap(ownedByServer, ownedByNone) && c.owner.Load() == ownedByRefuser {
		return nil
	}
	return c.TCPConn.Close()
}
