package gatewayd

import (
	"time"
)

// Timing of a graceful shutdown.
const (
	// refuseLateAfter is the part of the grace period after which a draining router accepts only
	// requests that are sure to end in time. Callers keep its address for some seconds.
	refuseLateAfter = 0.375
	// exitMargin is the part of the grace period that remains when the process exits by itself,
	// before it is killed.
	exitMargin = 0.04
	// drainPollInterval is the time between two checks for requests that still run.
	drainPollInterval = 50 * time.Millisecond
	// cutPollInterval is the time between two checks for requests that were given up and have not ended.
	cutPollInterval = 2 * time.Millisecond
)

// drain shuts the process down gracefully: it becomes unready, still serves new requests but
// closes each one's connection, later refuses new requests, and waits for the running ones.
func (p *Process) drain() {
	began := time.Now()
	grace := p.settings.Load().Leaving.GraceSeconds
	deadline := began.Add(seconds((1 - exitMargin) * grace))
	p.gateway.Drain(deadline)
	p.log.WithField("event", "leaving").WithField("active", p.gateway.Active()).Info("draining")
	time.Sleep(time.Until(began.Add(seconds(refuseLateAfter * grace))))
	p.gateway.RefuseLateRequests()
	if p.handover != nil {
		p.handover.Drain()
	}
	for p.gateway.Active()+p.openHandovers() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	p.gateway.EndRequests()
	p.awaitIdle(deadline.Add(seconds(exitMargin / 2 * grace)))
	p.log.WithField("event", "left").WithField("active", p.gateway.Active()).Info("router closes its connections")
	p.gateway.Stop()
	for _, f := range p.endpoints {
		f.server.Close()
	}
	if p.handover != nil {
		p.handover.Close()
	}
	p.awaitIdle(deadline.Add(seconds(exitMargin * 3 / 4 * grace)))
	p.log.WithFields(p.gateway.DrainSummary()).Info("ends of the requests that were read whole, since draining began")
}

// awaitIdle waits, until the given time at most, for the requests that were given up to end.
func (p *Process) awaitIdle(until time.Time) {
	for p.gateway.Active() > 0 && time.Now().Before(until) {
		time.Sleep(cutPollInterval)
	}
}

// openHandovers returns the number of connections that other routers serve through this one.
func (p *Process) openHandovers() int64 {
	if p.handover == nil {
		return 0
	}
	return p.handover.OpenConns()
}
