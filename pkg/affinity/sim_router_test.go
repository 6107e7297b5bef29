package affinity

import (
	"math"
	"time"
)

// simRouter is a router of the simulated fleet; it is its own view.
type simRouter struct {
	*Tracker
	sim     *sim
	index   int
	started time.Time
	up      bool
	// cut routers reach neither the store nor other routers; callers reach them. blind ones don't
	// reach the store.
	cutUntil, blindUntil time.Time
	// set is the list of upstreams at revision rev, which was current at listedAt.
	set      []string
	rev      int64
	listedAt time.Time
	nextList time.Time
	heard    []heardReport
	// stillUntil is until when the process stands still.
	stillUntil time.Time
	// nextRegister is when it next looks after the register.
	nextRegister time.Time
	keeper       simKeeper
	// early is the register as it was read at the start; nil once it was used.
	early *simEarlyRead
	// configuredAt is when it gets its configuration.
	configuredAt time.Time
}

// heardReport is the newest report of another router, made at madeAt.
type heardReport struct {
	at, madeAt time.Time
	rev        int64
}

func (r *simRouter) ListRevision() int64                 { return r.rev }
func (r *simRouter) ListAge(now time.Time) time.Duration { return now.Sub(r.listedAt) }

func (r *simRouter) LongestStream() (time.Duration, bool) { return r.sim.limit, r.configured() }

func (r *simRouter) configured() bool { return !r.sim.now.Before(r.configuredAt) }

func (r *simRouter) Peers(now time.Time) PeerView {
	view := PeerView{Floor: math.MaxInt64, Complete: true, Current: true, Register: true, HeardAt: now}
	for i, h := range r.heard {
		if i == r.index || h.at.IsZero() && now.Sub(r.started) > simForget || !h.at.IsZero() && now.Sub(h.at) > simForget {
			continue
		}
		if h.at.IsZero() || now.Sub(h.at) > simAlive {
			view.Complete = false
		} else {
			view.Floor, view.Newest = min(view.Floor, h.rev), max(view.Newest, h.rev)
		}
		if h.madeAt.Before(view.HeardAt) {
			view.HeardAt = h.madeAt
		}
	}
	return view
}

func (r *simRouter) listed(version string) bool {
	for _, v := range r.set {
		if v == version {
			return true
		}
	}
	return false
}
