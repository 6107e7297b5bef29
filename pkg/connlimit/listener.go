package connlimit

import (
	"net"
	"os"
	"sync"
	"time"
)

// retryInterval is the time between two tries to make room for a connection.
const retryInterval = 20 * time.Millisecond

// Listener accepts connections within the limits of a group. While there is no room for another one, further ones wait in the
// kernel.
type Listener struct {
	net.Listener
	group    *Group
	closed   chan struct{}
	closeOne sync.Once
}

// Listen returns a listener that takes its connections from l. Track must have been called for the server.
func (g *Group) Listen(l net.Listener) *Listener {
	return &Listener{Listener: l, group: g, closed: make(chan struct{})}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped, as net/http expects it
	}
	for {
		if e, ok := l.group.Admit(c); ok {
			return &Conn{Conn: c, entry: e}, nil
		}
		select {
		case <-l.closed:
			_ = c.Close() // nothing was read or will be sent
			return nil, net.ErrClosed
		case <-time.After(retryInterval):
		}
	}
}

// Close stops listening.
func (l *Listener) Close() error {
	l.closeOne.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Conn is a connection of a group.
type Conn struct {
	net.Conn
	entry *Entry
}

// Entry returns the connection's entry in its group.
func (c *Conn) Entry() *Entry { return c.entry }

// Read reads from the connection. It fails as by a deadline once the connection is to make room, which servers don't answer.
func (c *Conn) Read(b []byte) (int, error) {
	if c.entry.Closing() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(b)
	if !c.entry.Received(b[:n]) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.entry.BeginWrite()
	defer c.entry.EndWrite()
	return c.Conn.Write(b)
}

// SetReadDeadline sets the deadline, unless the connection is to make room.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.entry.Closing() {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}
