package gatewayd

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/admission"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/handover"
)

// handoverEndpoint names the address for connections that other routers pass on.
const handoverEndpoint = "handover"

const (
	// handoverDelay is the lateness from which on new connections are passed on: well before
	// callers are sent elsewhere.
	handoverDelay = 30 * time.Millisecond
	// targetsTTL is how long the choice of routers that take connections holds.
	targetsTTL = 50 * time.Millisecond
)

// bindHandover listens for connections that others pass on, and has l pass on those that this
// router has no processor for.
func (p *Process) bindHandover(l *admission.Listener) error {
	s := p.settings.Load()
	if s.Listen.Handover == "" {
		return nil
	}
	tcp, err := listenBacklog(s.Listen.Handover, admission.Backlog(s.Limits.LinkMbps))
	if err != nil {
		return errors.Annotatef(err, "listen for %s", handoverEndpoint)
	}
	inbound, err := admission.New(tcp, s.Limits.Cores, gateway.RejectionResponse)
	if err != nil {
		return errors.Trace(err)
	}
	endpoint := newEndpoint(handoverEndpoint, inbound, p.gateway)
	endpoint.server.ConnState = p.conns.observe
	endpoint.server.ConnContext = gateway.WithHandover
	p.endpoints = append(p.endpoints, endpoint)
	cache := &targetCache{find: p.handoverTargets}
	p.handover, err = handover.NewRelay(s.Limits.Cores, cache.get, l.Refuse)
	if err != nil {
		return errors.Trace(err)
	}
	inbound.Over(p.callerLink)
	p.callerTraffic = append(p.callerTraffic, inbound.Traffic, p.handover.Traffic)
	p.linkUsage.watch("handover", inbound.Traffic)
	p.linkUsage.watch("handover", p.handover.Traffic)
	l.PassOn(p.handover.Take, func() bool { return p.cpu.delay() > handoverDelay && len(cache.get()) > 0 })
	p.handoverStats = handoverStats{counts: p.handover.Counts, open: p.handover.Open, log: p.log, counter: p.metrics.Scope.Counter("connections_handed_over")}
	return nil
}

// handoverTargets gives the routers that take connections: those of the own zone, or others
// where that has none. One that is late itself takes none, nor one with an older configuration.
func (p *Process) handoverTargets() []handover.Target {
	members, _ := p.fleet.RecentlyAlive()
	var sameZone, otherZones []handover.Target
	for _, e := range members {
		if !e.Ready || e.CPUStarved || e.Member.Handover == "" || e.Config < p.catalog.Version() {
			continue
		}
		target := handover.Target{Addr: e.Member.Handover, Power: e.Member.Power, Config: e.Config}
		if e.Member.Zone == p.fleet.Self().Zone {
			sameZone = append(sameZone, target)
		} else {
			otherZones = append(otherZones, target)
		}
	}
	if len(sameZone) > 0 {
		return sameZone
	}
	return otherZones
}

// targetCache keeps the choice of routers for a while.
type targetCache struct {
	find   func() []handover.Target
	cached atomic.Pointer[targetList]
}

type targetList struct {
	at   time.Time
	list []handover.Target
}

// get gives the routers that take connections. The list must not be changed.
func (t *targetCache) get() []handover.Target {
	now := time.Now()
	if cached := t.cached.Load(); cached != nil && now.Sub(cached.at) < targetsTTL {
		return cached.list
	}
	list := &targetList{at: now, list: t.find()}
	t.cached.Store(list)
	return list.list
}

// handoverStats tells how many connections were passed on to other routers.
type handoverStats struct {
	counts        func() (taken, failed int64)
	open          func() int64
	taken, failed int64
	log           log.Interface
	counter       tally.Counter
}

func (h *handoverStats) report() {
	if h.counts == nil {
		return
	}
	taken, failed := h.counts()
	newTaken, newFailed := taken-h.taken, failed-h.failed
	if newTaken+newFailed == 0 {
		return
	}
	h.taken, h.failed = taken, failed
	h.counter.Inc(newTaken)
	h.log.WithFields(log.Fields{"event": "connections_handed_over", "connections": newTaken, "untaken": newFailed, "open": h.open()}).Info("connections were passed on to other routers")
}
