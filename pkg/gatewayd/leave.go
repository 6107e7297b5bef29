package gatewayd

import (
	"time"
)

// Times of an orderly end.
const (
	// refuseAfter is the part of the grace after which a leaving router stops to take
	// requests. Callers keep its address for some seconds; a request taken later might
	// not end within the grace.
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
	p.gateway.Leave()
	p.log.WithField("event", "leaving").WithField("active", p.gateway.Active()).Info("router leaves")
	p.joiner.Leave()
	grace := p.settings.Leaving.GraceSeconds
	time.Sleep(time.Until(began.Add(seconds(refuseAfter * grace))))
	p.gateway.Shut()
	end := began.Add(seconds((1 - endMargin) * grace))
	for p.gateway.Active() > 0 && time.Now().Before(end) {
		time.Sleep(leavePoll)
	}
	p.log.WithField("event", "left").WithField("active", p.gateway.Active()).Info("router closes its connections")
	for _, f := range p.faces {
		f.server.Close()
	}
}
