// Package peer carries frames between routers over QUIC with mutual TLS.
//
// A connection is made when there is something to send and closes when it stays
// idle. It has one long-lived stream in each direction: a stream for each message
// would cost half as many bytes again. All messages for one peer within the
// coalescing time go as one frame.
//
// Delivery is best effort. Every protocol message is idempotent and sent again by
// its owner until answered, so the transport may drop, repeat and reorder messages
// around a reconnect; it never blocks a sender.
package peer

import (
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Message puts one message into the frame that is about to go to its peer. It is not
// called when the message is dropped, and called again for another frame when the first
// one came out too large.
type Message func(*wire.Frame)

// Handler takes frames from peers. from is the ID in the sender's verified
// certificate. HandleFrame is called from one goroutine for each connection and
// must not block for long: the connection's later frames wait behind it.
type Handler interface {
	HandleFrame(from wire.RouterID, f *wire.Frame)
}

// Resolver finds the UDP address of a router.
type Resolver interface {
	PeerAddr(id wire.RouterID) (addr string, ok bool)
}

// Options of a Transport. Zero values take the defaults below.
type Options struct {
	// ID is this router's own ID; its certificate must carry it.
	ID wire.RouterID
	// Listen is the UDP address to bind, by IP number and port.
	Listen string
	// Cert, Key and CA are PEM files, read again when they change.
	Cert, Key, CA string
	// Resolver finds peers to dial.
	Resolver Resolver
	// Coalesce is how long the first message for a peer waits for others.
	Coalesce time.Duration
	// IdleTimeout closes a connection without traffic.
	IdleTimeout time.Duration
	// HandshakeTimeout bounds one try to connect.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds the write of one frame to a peer that takes nothing.
	WriteTimeout time.Duration
	// ReloadEvery is the time within which other PEM files are taken, once they have stayed the same
	// for half of it.
	ReloadEvery time.Duration
	// MaxPeers bounds the peers with a connection or a queue.
	MaxPeers int
	// MaxQueued bounds the messages that wait for one peer.
	MaxQueued int
	// Seed makes the jitter of reconnects repeatable.
	Seed uint64
	// Log takes changes of state; the default logger when nil.
	Log log.Interface
}

// Defaults of Options.
const (
	DefaultIdleTimeout      = 30 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultWriteTimeout     = 5 * time.Second
	DefaultReloadEvery      = 5 * time.Second
	DefaultMaxPeers         = 128
	DefaultMaxQueued        = 4096
)

func (o Options) withDefaults() Options {
	orDuration(&o.IdleTimeout, DefaultIdleTimeout)
	orDuration(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	orDuration(&o.WriteTimeout, DefaultWriteTimeout)
	orDuration(&o.ReloadEvery, DefaultReloadEvery)
	if o.MaxPeers == 0 {
		o.MaxPeers = DefaultMaxPeers
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	return o
}

func orDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}
