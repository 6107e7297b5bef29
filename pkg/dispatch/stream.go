package dispatch

import (
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const eventStream = "text/event-stream"

// stream relays a stream, over as many connections as it takes.
func (a *attempt) stream() Result {
	s := a.newSource()
	resp, err := a.send(s.ctx)
	if err == nil && !isEventStream(resp) {
		defer s.close()
		return a.nonStreamResponse(s, resp)
	}
	if err == nil {
		s.open(resp, a.d.limits.MaxEvent)
		err = a.relay(s)
	}
	s.close()
	if err != nil && a.canResume(err) {
		err = a.resume(err)
	}
	if err != nil {
		return a.failedResult(err)
	}
	return a.streamResult()
}

func isEventStream(resp *http.Response) bool {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return resp.StatusCode == http.StatusOK && strings.TrimSpace(mediaType) == eventStream
}

// nonStreamResponse handles an error response to a request for a stream.
func (a *attempt) nonStreamResponse(s *source, resp *http.Response) Result {
	if resp.StatusCode < http.StatusBadRequest {
		a.gate.dropConn()
		_ = resp.Body.Close()
		return a.failedResult(errors.WithType(errors.New("answer isn't a stream"), errMalformed))
	}
	return a.readResponse(s.ctx, resp)
}

// relay forwards events up to the end marker.
func (a *attempt) relay(s *source) error {
	for {
		e, err := s.next()
		if err != nil {
			return err
		}
		isNew, err := a.checkOrder(e)
		if err != nil {
			return err
		}
		if !isNew {
			continue
		}
		if err := a.forwardEvent(e); err != nil {
			return err
		}
		if e.done {
			s.drain()
			return nil
		}
	}
}

// checkOrder guards against a resumed stream that repeats or skips events, which would show as
// duplicated or missing text. It accepts only the event with the expected ID, drops earlier ones,
// and returns an error for a gap.
func (a *attempt) checkOrder(e event) (bool, error) {
	switch {
	case e.data == nil:
		return false, nil
	case !e.hasID && (e.done || !a.call.resumes(a.slot.Upstream())):
		return true, nil
	case !e.hasID:
		return false, errors.WithType(errors.New("event without id"), errMalformed)
	case e.id < a.nextEvent:
		return false, nil
	case e.id > a.nextEvent:
		return false, errors.WithType(errors.Errorf("event %d came in place of %d", e.id, a.nextEvent), errMalformed)
	}
	a.nextEvent++
	return true, nil
}

func (a *attempt) forwardEvent(e event) error {
	a.streamBytes += int64(len(e.raw))
	if a.streamBytes > a.d.limits.MaxStream {
		return errTooLarge
	}
	if !e.done {
		a.meter.observe(time.Now(), e.data)
	}
	if !a.sinkBegun {
		a.sinkBegun = true
		a.sink.Begin(http.StatusOK, http.Header{"Content-Type": {eventStream}, "Cache-Control": {"no-cache"}})
	}
	if err := a.sink.Write(e.raw); err != nil {
		return errors.WithType(err, errCallerGone)
	}
	return nil
}

func (a *attempt) streamResult() Result {
	tokens := a.meter.tokens()
	return Result{
		Verdict:       verdict.Ran,
		Outcome:       wire.OutcomeServed,
		Status:        http.StatusOK,
		Tokens:        tokens,
		Cost:          a.cost(tokens),
		TimeToFirst:   a.meter.timeToFirst(),
		EventInterval: a.meter.meanInterval(),
	}
}
