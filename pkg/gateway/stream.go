package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// relayStream relays events as they arrive.
func (g *Gateway) relayStream(r *request, rec *attemptRecord, inst *upstream.Instance, resp *forward.Response, state *attemptState) attemptResult {
	events := r.eventSplitter()
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	g.activeStreams.Add(1)
	defer g.activeStreams.Add(-1)
	for batched := time.Duration(0); ; {
		ready, count, err := r.nextEvents(resp, events, *buf)
		if len(ready) > 0 {
			g.relayEvents(r, rec, inst, resp, state, ready, count, batched)
		}
		if err == nil {
			batched = g.waitForBatch(state)
			continue
		}
		rec.RestBytes = events.PendingBytes()
		if errors.Is(err, io.EOF) && r.endedWithoutEvent(resp) {
			err = forward.ErrNoEvent
		}
		if errors.Is(err, io.EOF) {
			return g.streamEnded(r, rec, inst, resp)
		}
		return g.streamBroken(r, rec, inst, state, err)
	}
}

// endedWithoutEvent reports whether a stream ended without any sign that the request ran: no event
// arrived, and the end is marked by nothing but the connection's close. A caller that resumes a
// stream may already have all of its events.
func (r *request) endedWithoutEvent(resp *forward.Response) bool {
	return !r.responseStarted && !r.meta.Resumes && resp.Framing == forward.FramedByClose
}

// nextEvents reads from the response and returns the complete events. io.EOF means that the stream
// is complete: the upstream ended it, and not inside an event.
func (r *request) nextEvents(resp *forward.Response, events *forward.EventSplitter, buf []byte) (ready []byte, count int, err error) {
	n, err := resp.Read(buf)
	ready, count, ok := events.Push(buf[:n])
	if !ok {
		return ready, count, &forward.ExcessError{Bound: forward.BoundEvent, Limit: forward.MaxEventSize}
	}
	if err == nil && !r.holdEvents(events, len(ready)) {
		return ready, count, forward.ErrNoBuffer
	}
	if !errors.Is(err, io.EOF) {
		return ready, count, err
	}
	rest, partial := events.Finish()
	if partial != nil {
		resp.DisableReuse()
		return ready, count, partial
	}
	return append(ready, rest...), count, err
}

// relayEvents writes the events in ready to the caller.
func (g *Gateway) relayEvents(r *request, rec *attemptRecord, inst *upstream.Instance, resp *forward.Response, state *attemptState, ready []byte, count int, batched time.Duration) {
	now := time.Now()
	if state.lastEventAt.IsZero() {
		g.recordFirstEvent(r, state, now)
		g.beginEvents(r, inst, now)
		rec.FirstByteMs = now.Sub(rec.started).Milliseconds()
		g.beginStream(r, resp)
	} else {
		g.recordPause(r, rec, state, now, batched)
	}
	state.lastEventAt = now
	rec.Events += count
	if state.provesSound(now, rec.Events) || state.sound && g.quarantine.Parts.CrashedWithin(partSettle) {
		g.recordSound(r)
	}
	_, err := r.w.Write(ready)
	if err == nil {
		err = http.NewResponseController(r.w).Flush()
	}
	if err != nil {
		rec.Outcome = outcomeCallerLeft
		g.abortResponse(r)
	}
}

// eventSplitter returns the splitter of the request's stream, which all attempts share.
func (r *request) eventSplitter() *forward.EventSplitter {
	if r.splitter == nil {
		r.splitter = new(forward.EventSplitter)
		if r.meta.Resumes {
			r.splitter = forward.ResumeAfter(r.meta.LastEventID)
		}
	}
	return r.splitter
}

// beginStream sends the response header, once: it is that of the first attempt with an event.
func (g *Gateway) beginStream(r *request, resp *forward.Response) {
	if r.responseStarted {
		return
	}
	r.responseStarted = true
	r.logRecord.status = resp.Status
	copyHeader(r.w.Header(), resp.Header, false)
	r.w.WriteHeader(resp.Status)
}

func (g *Gateway) streamEnded(r *request, rec *attemptRecord, inst *upstream.Instance, resp *forward.Response) attemptResult {
	if !r.responseStarted {
		g.beginStream(r, resp)
	}
	rec.Outcome, r.logRecord.outcome = outcomeServed, outcomeServed
	g.recordCompletion(r, resp)
	g.observeOutcome(inst, upstream.Served, nil)
	return attemptResult{done: true}
}

// streamBroken decides what follows after a stream broke off: if the route allows it, another
// attempt resumes after the last event, else the response to the caller is aborted.
func (g *Gateway) streamBroken(r *request, rec *attemptRecord, inst *upstream.Instance, state *attemptState, err error) attemptResult {
	rec.Outcome, rec.Error = outcomeBroken, err.Error()
	g.recordExcess(r, inst, err)
	r.eventSplitter().DiscardPartial()
	r.releaseBuffers()
	if r.expired() || r.callerGone() {
		if !state.sound {
			g.watchRun(r, inst)
		}
		if r.responseStarted {
			rec.Outcome = outcomeTimeout
			g.abortResponse(r)
		}
		g.endExpired(r)
		return attemptResult{done: true}
	}
	if !isOwnFault(err) {
		if !state.sound {
			g.recordBrokenRun(r, inst)
		}
		g.observeOutcome(inst, g.failureOutcome(err), err)
	}
	if !r.route.Resumable {
		if r.responseStarted {
			g.abortResponse(r)
		}
		return attemptResult{}
	}
	return attemptResult{resumable: true}
}
