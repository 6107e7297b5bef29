package gatewayd

import (
	"cmp"
	"time"

	"github.com/flamingowind/flamingowind/pkg/warmup"
)

// coldListAge is the age of the list of upstreams from which on cold ones are left alone: a
// router that is told nothing may be cut off, and others send in its place.
const coldListAge = 2 * time.Second

// roster gives the routers that cold upstreams are dealt to.
func (p *Process) roster(now time.Time) warmup.Roster {
	alive := p.fleet.Membership(now)
	return warmup.Roster{Self: p.fleet.Self().Peers, Routers: alive.Peers, Since: alive.ChangedAt, Joined: alive.HalfAliveSince, Lost: alive.Lost, Known: alive.Known}
}

// listCurrent reports whether the list of upstreams is current enough for cold ones.
func (p *Process) listCurrent(now time.Time) bool {
	return p.catalog.InstancesAge(now) < coldListAge
}

func (p *Process) updateWarmup(s Settings) {
	p.warmup.Tune(cmp.Or(s.Warmup.Over, 1), s.Warmup.Slack)
}
