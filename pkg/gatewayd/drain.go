package gatewayd

import (
	"context"
	"sync"
	"time"
)

// Timing of a graceful shutdown.
const (
	// refuseLateAfter is the part of the grace period after which a draining router accepts only
	// requests that are sure to end in time. Callers keep its address for some seconds. Requests that are
	// sent three eighths of it after the signal, or later, must not be cut, and the signal takes some
	// time to be handled.
	refuseLateAfter = 0.35
	// exitMargin is the part of the grace period that remains when the process exits by itself,
	// before it is killed.
	exitMargin = 0.06
	// drainPollInterval is the time between two checks for requests that still run.
	drainPollInterval = 50 * time.Millisecond
	// endPollInterval is the time between two checks for requests that are about to end.
	endPollInterval = 2 * time.Millisecond
	// flushTimeout bounds the writing of the last responses where it isn't bounded by the grace period.
	flushTimeout = 200 * time.Millisecond
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
	p.endRequests(deadline, seconds(exitMargin*grace))
	p.log.WithFields(p.gateway.DrainSummary()).Info("ends of the requests that were read whole, since draining began")
}

// endRequests closes the connections once no request runs any more. Those that still run at deadline are
// given up; margin is the time from then until the process is killed. Half of it is left for
// the rest of the exit and for a signal that was handled late.
//
// Guard: a request that arrives as the last one ends must not be passed on and then be cut with its
// connection, so nothing is passed on before the connections are closed.
func (p *Process) endRequests(deadline time.Time, margin time.Duration) {
	p.gateway.RefuseRequests()
	p.awaitIdle(deadline)
	p.gateway.EndRequests()
	p.awaitIdle(deadline.Add(margin / 4))
	p.log.WithField("event", "left").WithField("active", p.gateway.Active()).Info("router closes its connections")
	flushed := deadline.Add(margin / 2)
	if soon := time.Now().Add(flushTimeout); soon.Before(flushed) {
		flushed = soon
	}
	closeEndpoints(p.endpoints, flushed, p.gateway.Stop)
	if p.handover != nil {
		p.handover.Close()
	}
	p.awaitIdle(deadline.Add(margin / 2))
}

// awaitIdle waits, until the given time at most, for the requests that run to end.
func (p *Process) awaitIdle(until time.Time) {
	for p.gateway.Active() > 0 && time.Now().Before(until) {
		time.Sleep(endPollInterval)
	}
}

// closeEndpoints closes all endpoints. Those for callers may write until flushed what they have to; stop is
// called before connections are cut.
//
// Guard: a handler returns before the server has written the end of its response. If the connection were
// closed in between, the caller would get no response, or a part of it.
func closeEndpoints(list []*endpoint, flushed time.Time, stop func()) {
	ctx, cancel := context.WithDeadline(context.Background(), flushed)
	defer cancel()
	var all sync.WaitGroup
	for _, e := range list {
		if e.forCallers {
			all.Go(func() { _ = e.server.Shutdown(ctx) }) // what remains is closed below
		}
	}
	all.Wait()
	stop()
	for _, e := range list {
		e.server.Close()
	}
}

// openHandovers returns the number of connections that other routers serve through this one.
func (p *Process) openHandovers() int64 {
	if p.handover == nil {
		return 0
	}
	return p.handover.OpenConns()
}
