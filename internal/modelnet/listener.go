package modelnet

import (
	"net"
	"sync"
)

type listener struct {
	host     *Host
	addr     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }
