package modelnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrNoHost says that nobody listens at an address.
const ErrNoHost = errors.ConstError("connection refused")

// Figures of the network.
const (
	// delay is the time that a segment is under way besides its waits.
	delay = 2 * time.Millisecond
	// segment is the most that is sent at once, in bytes.
	segment = 1460
	// window is how much of a connection may be under way, in bytes.
	window = 32 << 10
)

// Network joins hosts.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	ends      []net.Conn
	closed    bool
}

// New returns a network without hosts.
func New() *Network { return &Network{listeners: make(map[string]*listener)} }

// Listen takes connections to an address of h.
func (n *Network) Listen(h *Host, addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{host: h, addr: addr, accepted: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dial gives what opens connections from h.
func (n *Network) Dial(h *Host) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[addr]
		n.mu.Unlock()
		if l == nil {
			return nil, ErrNoHost
		}
		handshake := time.NewTimer(2*delay + l.host.wait() + h.wait())
		defer handshake.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-handshake.C:
		}
		near, far := newConnection(h, l.host)
		n.keep(near, far)
		select {
		case l.accepted <- far:
			return near, nil
		case <-l.closed:
			return nil, ErrNoHost
		}
	}
}

// keep has Close close the ends of a connection.
func (n *Network) keep(ends ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends = append(n.ends, ends...)
	if n.closed {
		n.closeEnds()
	}
}

// Close breaks off all connections, and those to come.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	n.closeEnds()
}

func (n *Network) closeEnds() {
	for _, c := range n.ends {
		_ = c.Close() // both directions end
	}
	n.ends = nil
}
