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

// facingRouters names the address for connections that other routers pass on.
const facingRouters = "handover"

const (
	// handoverLate is the lateness from which on new connections are passed on: well before
	// callers are sent elsewhere.
	handoverLate = 30 * time.Millisecond
	// targetsFor is how long the choice of routers that take connections holds.
	targetsFor = 50 * time.Millisecond
)

// bindHandover listens for connections that others pass on, and has l pass on those that this
// router has no processor for.
func (p *Process) bindHandover(l *admission.Listener) error {
	s := p.settings.Load()
	if s.Listen.Handover == "" {
		return nil
	}
	tcp, err := listenFor(s.Listen.Handover, admission.Backlog(s.Limits.LinkMbps))
	if err != nil {
		return errors.Annotatef(err, "listen for %s", facingRouters)
	}
	taking, err := admission.New(tcp, s.Limits.Cores, gateway.RejectionResponse)
	if err != nil {
		return errors.Trace(err)
	}
	face := faceOn(facingRouters, taking, p.gateway)
	face.server.ConnState = p.crowd.observe
	face.server.ConnContext = gateway.WithHandover
	p.faces = append(p.faces, face)
	targets := &targets{find: p.handoverTargets}
	p.handover, err = handover.NewRelay(s.Limits.Cores, targets.now, l.Refuse)
	if err != nil {
		return errors.Trace(err)
	}
	taking.SetLink(p.inbound)
	p.fromCallersOf = append(p.fromCallersOf, taking.Traffic, p.handover.Traffic)
	p.link.watch("handover", taking.Traffic)
	p.link.watch("handover", p.handover.Traffic)
	l.SetHandover(p.handover.HandOver, func() bool { return p.pressure.lateBy() > handoverLate && len(targets.now()) > 0 })
	p.handed = handedOver{count: p.handover.Counts, open: p.handover.OpenConns, log: p.log, counter: p.metrics.Scope.Counter("connections_handed_over")}
	return nil
}

// handoverTargets gives the routers that take connections: those of the own zone, or others
// where that has none. One that is late itself takes none, nor one with an older configuration.
func (p *Process) handoverTargets() []handover.Target {
	named, _ := p.fleet.RecentlyAlive()
	var near, far []handover.Target
	for _, e := range named {
		if !e.Ready || e.CPUStarved || e.Member.Handover == "" || e.Config < p.catalog.Version() {
			continue
		}
		target := handover.Target{Addr: e.Member.Handover, Cores: e.Member.Power, Config: e.Config}
		if e.Member.Zone == p.fleet.Self().Zone {
			near = append(near, target)
		} else {
			far = append(far, target)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// targets keeps the choice of routers for a while.
type targets struct {
	find func() []handover.Target
	kept atomic.Pointer[targetList]
}

type targetList struct {
	at   time.Time
	list []handover.Target
}

// now gives the routers that take connections. The list must not be changed.
func (t *targets) now() []handover.Target {
	now := time.Now()
	if kept := t.kept.Load(); kept != nil && now.Sub(kept.at) < targetsFor {
		return kept.list
	}
	fresh := &targetList{at: now, list: t.find()}
	t.kept.Store(fresh)
	return fresh.list
}

// handedOver tells how many connections were passed on to other routers.
type handedOver struct {
	count         func() (taken, failed int64)
	open          func() int64
	taken, failed int64
	log           log.Interface
	counter       tally.Counter
}

func (h *handedOver) tell() {
	if h.count == nil {
		return
	}
	taken, failed := h.count()
	fresh, lost := taken-h.taken, failed-h.failed
	if fresh+lost == 0 {
		return
	}
	h.taken, h.failed = taken, failed
	h.counter.Inc(fresh)
	h.log.WithFields(log.Fields{"event": "connections_handed_over", "connections": fresh, "untaken": lost, "open": h.open()}).Info("connections were passed on to other routers")
}
