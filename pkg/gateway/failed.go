package gateway

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// attemptFailed handles an attempt that ended without a usable response.
func (g *Gateway) attemptFailed(r *request, rec *attemptRecord, inst *upstream.Instance, err error) attemptResult {
	rec.Error = err.Error()
	g.recordExcess(r, inst, err)
	var f *forward.Error
	sent := !errors.As(err, &f) || f.Sent
	rec.Outcome = outcomeBroken
	if !sent {
		rec.Outcome = outcomeUnsent
	}
	if r.expired() || r.callerGone() {
		if sent {
			g.watchRun(r, inst)
		}
		g.endExpired(r)
		return attemptResult{done: true}
	}
	switch {
	case errors.Is(err, forward.ErrNoBuffer):
	case sent:
		g.recordBrokenRun(r, inst)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.recordEnd(inst.Life())
	}
	if !isOwnFault(err) {
		g.observeOutcome(inst, g.failureOutcome(err), err)
	}
	return attemptResult{unsent: !sent}
}

// isOwnFault reports whether an attempt failed for a reason that says nothing about its upstream: the router
// has run out of file descriptors or memory for responses, or the call was no longer wanted.
func isOwnFault(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, forward.ErrNoBuffer) || errors.Is(err, forward.ErrUnwanted)
}

// failureOutcome returns the outcome that an attempt which failed with err counts as.
//
// Guard: the timers of a router that gets too little CPU expire although its upstreams are well,
// and it would suspend one upstream after the other. That shows as timeouts at all upstreams within
// the same 100 ms and as refusals of every request after that. Such a timeout counts as a
// failure, which only makes the upstream a worse choice.
func (g *Gateway) failureOutcome(err error) upstream.Outcome {
	var timeout net.Error
	ownTimeout := errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT) // the kernel's timeout
	if ownTimeout && g.cpuStarved() {
		return upstream.Failed
	}
	return upstream.ConnectionFailed
}

// endExpired ends a request whose deadline has passed or whose caller has left.
func (g *Gateway) endExpired(r *request) {
	if r.callerGone() {
		g.abortForCaller(r)
	}
	g.refuse(r, g.deadlineError(r))
}

// attemptDeclined handles a response which says that the instance did not run the request.
func (g *Gateway) attemptDeclined(r *request, rec *attemptRecord, inst *upstream.Instance, resp *forward.Response) attemptResult {
	rec.Outcome = outcomeNotRun
	if resp.Status == statusBadRequest {
		return g.relayBuffered(r, rec, inst, resp)
	}
	discardBody(resp)
	g.observeOutcome(inst, upstream.Failed, nil)
	return attemptResult{notRun: true}
}

func (g *Gateway) observeOutcome(inst *upstream.Instance, o upstream.Outcome, cause error) {
	suspended := g.health.Observe(inst.Life(), o, time.Now())
	if suspended == 0 {
		return
	}
	entry := g.log.WithField("event", "instance_suspended").WithField("instance", inst.ID).WithField("for_ms", suspended.Milliseconds())
	if cause != nil {
		entry = entry.WithError(cause)
	}
	entry.Warn("instance doesn't answer")
}
