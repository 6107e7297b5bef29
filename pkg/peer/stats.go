package peer

import "sync/atomic"

// Stats are counts since the transport was made. Bytes and packets are counted on
// the wire, with the headers of IP and UDP.
type Stats struct {
	BytesSent, BytesReceived     uint64
	PacketsSent, PacketsReceived uint64
	FramesSent, FramesReceived   uint64
	// Dropped messages: a peer's queue was full.
	Dropped uint64
	// Undelivered messages: no address, no connection, or a write that failed.
	Undelivered uint64
	// Dials and DialsFailed count tries to connect.
	Dials, DialsFailed uint64
	// Refused connections had no acceptable certificate.
	Refused uint64
	// Connections are open now.
	Connections int64
}

type counters struct {
	bytesSent, bytesReceived     atomic.Uint64
	packetsSent, packetsReceived atomic.Uint64
	framesSent, framesReceived   atomic.Uint64
	dropped, undelivered         atomic.Uint64
	dials, dialsFailed           atomic.Uint64
	refused                      atomic.Uint64
	connections                  atomic.Int64
}

func (c *counters) snapshot() Stats {
	return Stats{
		BytesSent:       c.bytesSent.Load(),
		BytesReceived:   c.bytesReceived.Load(),
		PacketsSent:     c.packetsSent.Load(),
		PacketsReceived: c.packetsReceived.Load(),
		FramesSent:      c.framesSent.Load(),
		FramesReceived:  c.framesReceived.Load(),
		Dropped:         c.dropped.Load(),
		Undelivered:     c.undelivered.Load(),
		Dials:           c.dials.Load(),
		DialsFailed:     c.dialsFailed.Load(),
		Refused:         c.refused.Load(),
		Connections:     c.connections.Load(),
	}
}
