package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the bytes of one kind of traffic. A nil meter counts nothing.
type Meter struct {
	sent, received atomic.Int64
}

// Sent counts n bytes that were sent.
func (m *Meter) Sent(n int) {
	if m != nil && n > 0 {
		m.sent.Add(int64(n))
	}
}

// Received counts n bytes that were received.
func (m *Meter) Received(n int) {
	if m != nil && n > 0 {
		m.received.Add(int64(n))
	}
}

// Total gives the bytes counted so far.
func (m *Meter) Total() Bytes {
	if m == nil {
		return Bytes{}
	}
	return Bytes{Sent: m.sent.Load(), Received: m.received.Load()}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial counts what the connections opened by dial carry.
func (m *Meter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return m.Conn(c), nil
	}
}

// Conn counts what c carries.
func (m *Meter) Conn(c net.Conn) net.Conn { return &conn{Conn: c, meter: m} }

// Listen counts what the connections accepted by l carry.
func (m *Meter) Listen(l net.Listener) net.Listener { return &listener{Listener: l, meter: m} }
