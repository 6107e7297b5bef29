package gatewayd

import (
	"time"
)

// Times of an orderly end.
const (
	// refuseLateAfter is the part of the grace after which a leaving router takes only requests
	// that are sure to end in time. Callers keep its address for some seconds.
	refuseLateAfter = 0.375
	// exitMargin is the part of the grace that is left when the process ends by itself,
	// before it is ended by force.
	exitMargin = 0.04
	// drainPollInterval is the pause between two looks at what is still running.
	drainPollInterval = 50 * time.Millisecond
)

// drain ends the process in order: unready first, requests that come are still served,
// each on its last connection; later ones are refused; then what runs is waited for.
func (p *Process) drain() {
	began := time.Now()
	grace := p.settings.Load().Leaving.GraceSeconds
	deadline := began.Add(seconds((1 - exitMargin) * grace))
	p.gateway.Drain(deadline)
	p.log.WithField("event", "leaving").WithField("active", p.gateway.Active()).Info("router leaves")
	time.Sleep(time.Until(began.Add(seconds(refuseLateAfter * grace))))
	p.gateway.RefuseLateRequests()
	for p.gateway.Active()+p.openHandovers() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	p.log.WithField("event", "left").WithField("active", p.gateway.Active()).Info("router closes its connections")
	for _, f := range p.endpoints {
		f.server.Close()
	}
	if p.handover != nil {
		p.handover.Close()
	}
}

// openHandovers is the number of connections that other routers serve through this one.
func (p *Process) openHandovers() int64 {
	if p.handover == nil {
		return 0
	}
	return p.handover.Open()
}
