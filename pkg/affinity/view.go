package affinity

import "time"

// View is what the router knows of its list of upstreams and of the other routers.
type View interface {
	// ListRevision returns the revision of the list of upstreams.
	ListRevision() int64
	// ListAge returns the time since the list was last known to be current.
	ListAge(now time.Time) time.Duration
	// LongestStream returns the longest timeout of routes that carry streams, in the configuration in
	// force; configured is false before the first one.
	LongestStream() (timeout time.Duration, configured bool)
	// Peers describes the other routers.
	Peers(now time.Time) PeerView
}

// PeerView describes the other routers.
type PeerView struct {
	// Floor and Newest are the lowest and the highest revision of their lists of upstreams.
	Floor, Newest int64
	// Complete says that these cover all routers that may be alive.
	Complete bool
	// HeardAt is when the router that has been silent longest made its newest report, at the latest;
	// zero if that isn't known.
	HeardAt time.Time
	// Current says that none of them runs a build that doesn't record streams.
	Current bool
	// Register says that none of them runs a build that doesn't register software versions before it uses them.
	Register bool
}
