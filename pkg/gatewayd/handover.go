package gatewayd

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/internal/listening"
	"github.com/flamingowind/flamingowind/pkg/admission"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/gateway"
	"github.com/flamingowind/flamingowind/pkg/handover"
)

// handoverEndpoint names the endpoint for connections that other routers hand over.
const handoverEndpoint = "handover"

const (
	// handoverDelay is the CPU delay above which new connections are handed over. It is well
	// below starvedDelay, at which callers are sent to other routers.
	handoverDelay = 30 * time.Millisecond
	// targetsTTL is how long the list of handover targets is cached.
	targetsTTL = 50 * time.Millisecond
)

// bindHandover listens for connections that other routers hand over, and makes l hand over those
// that this router lacks the CPU for.
func (p *Process) bindHandover(l *admission.Listener) error {
	s := p.settings.Load()
	if s.Listen.Handover == "" {
		return nil
	}
	tcp, err := listening.TCP(s.Listen.Handover, callersSocket(s.Limits))
	if err != nil {
		return errors.Annotatef(err, "listen for %s", handoverEndpoint)
	}
	inbound, err := admission.New(tcp, s.Limits.Cores, gateway.RejectionResponse)
	if err != nil {
		return errors.Trace(err)
	}
	p.endpoints = append(p.endpoints, p.newCallersEndpoint(handoverEndpoint, inbound, gateway.WithHandover))
	cache := &targetCache{find: p.handoverTargets}
	p.handover, err = handover.NewRelay(s.Limits.Cores, cache.get, l.Refuse)
	if err != nil {
		return errors.Trace(err)
	}
	p.handover.SetAlive(p.runsHandover)
	inbound.SetLink(p.callerLink)
	inbound.SetObjective(p.shortestObjective)
	p.callerTraffic = append(p.callerTraffic, inbound.Traffic, p.handover.Traffic)
	p.linkUsage.watch("handover", inbound.Traffic)
	p.linkUsage.watch("handover", p.handover.Traffic)
	l.SetHandover(p.handover.HandOver, func() bool { return p.cpu.delay() > handoverDelay && len(cache.get()) > 0 })
	p.handoverStats = handoverStats{counts: p.handover.Counts, open: p.handover.OpenConns, log: p.log, counter: p.metrics.Scope.Counter("connections_handed_over")}
	return nil
}

// handoverTargets returns the routers that accept connections: those of the own zone, or of other
// zones where it has none. CPU-starved routers and those with an older configuration are left out.
func (p *Process) handoverTargets() []handover.Target {
	members, _ := p.fleet.RecentlyAlive()
	var sameZone, otherZones []handover.Target
	for _, e := range members {
		if !e.Ready || e.CPUStarved || e.Member.Handover == "" || e.Config < p.catalog.Version() {
			continue
		}
		target := handover.Target{Addr: e.Member.Handover, Cores: e.Member.Power, Config: e.Config}
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

// runsHandover reports whether the router that accepts connections at addr is alive.
func (p *Process) runsHandover(addr string) bool {
	members, _ := p.fleet.RecentlyAlive()
	return slices.ContainsFunc(members, func(e fleet.MemberState) bool { return e.Member.Handover == addr })
}

// targetCache caches the handover targets for targetsTTL.
type targetCache struct {
	find   func() []handover.Target
	cached atomic.Pointer[targetList]
}

type targetList struct {
	at   time.Time
	list []handover.Target
}

// get returns the handover targets. Callers must not modify the list.
func (t *targetCache) get() []handover.Target {
	now := time.Now()
	if cached := t.cached.Load(); cached != nil && now.Sub(cached.at) < targetsTTL {
		return cached.list
	}
	list := &targetList{at: now, list: t.find()}
	t.cached.Store(list)
	return list.list
}

// handoverStats reports how many connections were handed over to other routers.
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
	h.log.WithFields(log.Fields{"event": "connections_handed_over", "connections": newTaken, "untaken": newFailed, "open": h.open()}).Info("connections were handed over to other routers")
}
