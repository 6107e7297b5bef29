// Package member keeps the list of routers that are alive.
//
// Roster is the protocol as a state machine without clock or goroutine: heartbeats,
// gossip of changed members, suspicion before death, incarnations. Duty drives it.
// Everyone reads the immutable View.
//
// A small fleet pings everyone each heartbeat. A larger one arranges its members in a
// few rings, each in another pseudo-random order, and a router pings its successor in
// each: every member is watched by that many others, and neither the bytes nor the
// connections of a router grow with the fleet. Random targets at each heartbeat, as
// SWIM has it, would spread as well, but would open connections to everyone within
// minutes, at tens of kilobytes and a handshake each.
package member

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Options of a Roster. Zero values take the defaults below.
type Options struct {
	// Self is this router's record: ID, zone and addresses.
	Self wire.Member
	// Start is when the process started; it makes the incarnation higher than those
	// of the router's earlier lives.
	Start time.Time
	// Seeds are peer addresses to try first.
	Seeds []string
	// Heartbeat is the time between two ticks.
	Heartbeat time.Duration
	// SuspectAfter is how long a watched member may be silent before it is suspected;
	// DeadAfter is how long until it counts as dead. Both from when it was heard last.
	SuspectAfter, DeadAfter time.Duration
	// HostGone is how long the host list must have left a dead member out before it is forgotten.
	HostGone time.Duration
	// ProbeEvery is the time between two tries to reach dead members and seeds.
	ProbeEvery time.Duration
	// FullMesh is the largest fleet in which everyone pings everyone.
	FullMesh int
	// Rings is the number of members that a router pings in a larger fleet.
	Rings int
	// MaxMembers bounds the list.
	MaxMembers int
	// Seed makes random choices repeatable.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultHeartbeat    = 500 * time.Millisecond
	DefaultSuspectAfter = 1500 * time.Millisecond
	DefaultDeadAfter    = 3 * time.Second
	DefaultHostGone     = 30 * time.Second
	DefaultFullMesh     = 12
	DefaultRings        = 3
	DefaultMaxMembers   = 4096
)

// probeHeartbeats is the default of ProbeEvery, in heartbeats.
const probeHeartbeats = 4

func (o Options) withDefaults() Options {
	orDuration(&o.Heartbeat, DefaultHeartbeat)
	orDuration(&o.SuspectAfter, DefaultSuspectAfter)
	orDuration(&o.DeadAfter, DefaultDeadAfter)
	orDuration(&o.HostGone, DefaultHostGone)
	orDuration(&o.ProbeEvery, probeHeartbeats*o.Heartbeat)
	orInt(&o.FullMesh, DefaultFullMesh)
	orInt(&o.Rings, DefaultRings)
	orInt(&o.MaxMembers, DefaultMaxMembers)
	return o
}

func orDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

func orInt(n *int, def int) {
	if *n == 0 {
		*n = def
	}
}
