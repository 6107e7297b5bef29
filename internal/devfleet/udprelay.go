package devfleet

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
)

// maxDatagram is the largest UDP payload the relay carries, in bytes.
const maxDatagram = 64 << 10

// UDPRelay forwards datagrams to a target and the answers back. What arrives while
// the link is cut, or from or to a blocked source, is dropped.
type UDPRelay struct {
	*gate
	conn   *net.UDPConn
	target netip.AddrPort

	mu       sync.Mutex
	closed   bool
	sessions map[netip.AddrPort]*net.UDPConn // by source
	blocked  map[netip.AddrPort]bool
}

// NewUDPRelay listens on listen and forwards to target, both "ip:port".
func NewUDPRelay(listen, target string) (*UDPRelay, error) {
	from, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, errors.Annotate(err, "relay's address")
	}
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, errors.Annotate(err, "relay's target")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(from))
	if err != nil {
		return nil, errors.Annotate(err, "listen for relay")
	}
	r := &UDPRelay{
		gate: newGate(), conn: conn, target: to,
		sessions: make(map[netip.AddrPort]*net.UDPConn),
		blocked:  make(map[netip.AddrPort]bool),
	}
	go r.serve()
	return r, nil
}

// Addr returns the relay's own address.
func (r *UDPRelay) Addr() string { return r.conn.LocalAddr().String() }

// Block drops what comes from source ("ip:port"), and the answers to it, until
// Unblock: it cuts one pair of routers and leaves the target's other links.
func (r *UDPRelay) Block(source string) { r.setBlocked(source, true) }

// Unblock ends Block.
func (r *UDPRelay) Unblock(source string) { r.setBlocked(source, false) }

func (r *UDPRelay) setBlocked(source string, blocked bool) {
	addr, err := netip.ParseAddrPort(source)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[addr] = blocked
}

// Close ends the relay.
func (r *UDPRelay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.conn.Close()
	for _, s := range r.sessions {
		_ = s.Close()
	}
}

func (r *UDPRelay) serve() {
	buf := make([]byte, maxDatagram)
	for {
		n, source, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
		session := r.session(source)
		if session == nil {
			return
		}
		r.forward(source, buf[:n], func(b []byte) { _, _ = session.Write(b) })
	}
}

// session returns the socket that stands for source towards the target.
func (r *UDPRelay) session(source netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sessions[source]; s != nil || r.closed {
		return s
	}
	s, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.sessions[source] = s
	go r.answers(s, source)
	return s
}

func (r *UDPRelay) answers(session *net.UDPConn, source netip.AddrPort) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := session.Read(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // the target is down for the moment: its port answered "unreachable"
		}
		r.forward(source, buf[:n], func(b []byte) { _, _ = r.conn.WriteToUDPAddrPort(b, source) })
	}
}

func (r *UDPRelay) forward(source netip.AddrPort, datagram []byte, send func([]byte)) {
	if r.isCut() || r.isBlocked(source) {
		return
	}
	_, delay := r.state()
	if delay <= 0 {
		send(datagram)
		return
	}
	held := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() { send(held) })
}

func (r *UDPRelay) isBlocked(source netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocked[source]
}
