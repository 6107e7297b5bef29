package member

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/peer"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Sender sends messages to routers; *peer.Transport is one.
type Sender interface {
	Send(to wire.RouterID, m peer.Message)
	SendAddr(addr string, m peer.Message)
}

// Versions is what membership carries for the configuration: which version is in
// force, and when it was last known to be the newest. Calls come from one goroutine
// and must not block.
type Versions interface {
	// Version is the configuration version in force here; 0 when there is none.
	Version() uint64
	// Confirmed says how long ago that version was last known to be the newest.
	Confirmed(now time.Time) (age time.Duration, ok bool)
	// PeerVersion tells the version in force at a peer.
	PeerVersion(from wire.RouterID, version uint64)
	// Confirm tells that version was the newest at the time at, on this router's clock.
	// It is counted from when the ping was sent, less the age that the peer gave, so it
	// is never later than the truth and passing it round doesn't make it younger.
	Confirm(at time.Time, version uint64)
}

// Marks is what membership carries for leaving upstreams. Calls must not block.
type Marks interface {
	// RecentMarks gives the marks changed lately, few enough for one message.
	RecentMarks() []wire.UpstreamMark
	// MergeMarks takes a peer's marks; higher generations win.
	MergeMarks(from wire.RouterID, marks []wire.UpstreamMark)
}

// local is what the hooks say at one moment.
type local struct {
	version     uint64
	confirmed   bool
	confirmedMs uint32
	marks       []wire.UpstreamMark
}

// confirmation is what a pong says of a configuration version.
type confirmation struct {
	at      time.Time
	version uint64
}
