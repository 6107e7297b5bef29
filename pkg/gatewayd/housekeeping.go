package gatewayd

import (
	"context"
	"time"
)

// housekeepingInterval is the time between two rounds of pruning and reporting.
const housekeepingInterval = 2 * time.Second

func (p *Process) housekeeping(ctx context.Context) {
	tick := time.NewTicker(housekeepingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.streams.Observe(now)
			p.prefixIndex.Prune(now)
			p.bookings.Prune(now)
			p.health.Prune(p.catalog.Instances(), now)
			p.catalog.Prune(now)
			p.local.loads.Prune(p.catalog.Instances())
			p.fleet.Membership(now) // detects when this router sees little of its fleet
			p.logDrops.report()
			p.storeCalls.report()
			p.bookingStats.report()
			p.upstreamConns.report()
			p.linkUsage.report()
			p.rowFaults.report()
			p.held.report()
			p.reportMemory()
			p.connLimits.refresh()
			p.connLimits.report()
			p.rejections.report()
			p.handoverStats.report()
			p.shareUsage.report(now)
		}
	}
}
