package gatewayd

import (
	"cmp"
	"time"

	"github.com/flamingowind/flamingowind/pkg/warmup"
)

// coldListAge is the age of the list of upstreams above which cold ones are not used: a router
// without reports may be partitioned, and others send requests in its place.
const coldListAge = 2 * time.Second

// roster returns the routers among which cold upstreams are divided.
func (p *Process) roster(now time.Time) warmup.Roster {
	alive := p.fleet.Membership(now)
	return warmup.Roster{Self: p.fleet.Self().Peers, Routers: alive.Peers, Since: alive.ChangedAt, Joined: alive.HalfAliveSince, Lost: alive.Lost, Known: alive.Known}
}

// listCurrent reports whether the list of upstreams is recent enough to use cold ones.
func (p *Process) listCurrent(now time.Time) bool {
	return p.catalog.InstancesAge(now) < coldListAge
}

func (p *Process) updateWarmup(s Settings) {
	p.warmup.SetLimit(cmp.Or(s.Warmup.Over, 1), s.Warmup.Slack)
}
