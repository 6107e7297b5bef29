package gatewayd

import (
	"context"
	"time"
)

// housekeepingEvery is the pause between two rounds that forget what is past.
const housekeepingEvery = 2 * time.Second

func (p *Process) housekeeping(ctx context.Context) {
	tick := time.NewTicker(housekeepingEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.holdings.Prune(now)
			p.health.Prune(p.catalog.Instances())
			p.telling.ledger.Prune(p.catalog.Instances())
			p.fleet.Membership(now) // notices when this router sees little of its fleet
			p.dropped.tell()
			p.calls.tell()
			p.link.tell()
			p.faults.tell()
			p.holds.tell()
			p.turnedAway.tell()
			p.handed.tell()
			p.uses.tell(now)
		}
	}
}
