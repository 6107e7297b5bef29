package gatewayd

import (
	"time"
)

// Times of an orderly end.
const (
	// refuseAfter is the part of the grace after which a leaving router takes only requests
	// that are sure to end in time. Callers keep its address for some seconds.
	refuseAfter = 0.375
	// endMargin is the part of the grace that is left when the process ends by itself,
	// before it is ended by force.
	endMargin = 0.04
	// leavePoll is the pause between two looks at what is still running.
	leavePoll = 50 * time.Millisecond
)

// leave ends the process in order: unready first, requests that come are still served,
// each on its last connection; later ones are refused; then what runs is waited for.
func (p *Process) leave() {
	began := time.Now()
	grace := p.settings.Load().Leaving.GraceSeconds
	end := began.Add(seconds((1 - endMargin) * grace))
	p.gateway.Drain(end)
	p.log.WithField("event", "leaving").WithField("active", p.gateway.Active()).Info("router leaves")
	time.Sleep(time.Until(began.Add(seconds(refuseAfter * grace))))
	p.gateway.RefuseLateRequests()
	for p.gateway.Active()+p.passedOn() > 0 && time.Now().Before(end) {
		time.Sleep(leavePoll)
	}
	p.log.WithField("event", "left").WithField("active", p.gateway.Active()).Info("router closes its connections")
	for _, f := range p.faces {
		f.server.Close()
	}
	if p.handover != nil {
		p.handover.Close()
	}
}

// passedOn is the number of connections that other routers serve through this one.
func (p *Process) passedOn() int64 {
	if p.handover == nil {
		return 0
	}
	return p.handover.OpenConns()
}
