package peer

import (
	"net"
	"net/netip"
)

// Sizes of the headers below QUIC, in bytes.
const (
	udpHeader  = 8
	ipv4Header = 20
	ipv6Header = 40
)

// countedConn counts what crosses a UDP socket. It shows quic-go the plain
// net.PacketConn only, so that each call moves one packet: with the batched calls of
// a *net.UDPConn packets would pass uncounted. Control traffic is too thin for the
// batches to matter.
type countedConn struct {
	net.PacketConn
	counters *counters
	header   uint64
}

func newCountedConn(conn *net.UDPConn, c *counters) *countedConn {
	return &countedConn{PacketConn: conn, counters: c, header: headerSize(conn.LocalAddr())}
}

// socketBuffer is the kernel's buffer for each direction, in bytes: enough for the
// control traffic that arrives while the process is held up for a moment.
const socketBuffer = 1 << 20

// SetReadBuffer is called by quic-go, which asks for the megabytes that bulk data needs.
func (c *countedConn) SetReadBuffer(int) error {
	return c.PacketConn.(*net.UDPConn).SetReadBuffer(socketBuffer)
}

// SetWriteBuffer is called by quic-go, like SetReadBuffer.
func (c *countedConn) SetWriteBuffer(int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(socketBuffer)
}

func headerSize(local net.Addr) uint64 {
	ap, err := netip.ParseAddrPort(local.String())
	if err == nil && ap.Addr().Unmap().Is6() {
		return ipv6Header + udpHeader
	}
	return ipv4Header + udpHeader
}

func (c *countedConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(b)
	if err == nil {
		c.counters.packetsReceived.Add(1)
		c.counters.bytesReceived.Add(uint64(n) + c.header)
	}
	return n, addr, err
}

func (c *countedConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(b, addr)
	if err == nil {
		c.counters.packetsSent.Add(1)
		c.counters.bytesSent.Add(uint64(n) + c.header)
	}
	return n, err
}
