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

// stream relays a streamed answer, over as many connections as it takes.
func (a *attempt) stream() Result {
	s := a.newSource()
	resp, err := a.send(s.ctx)
	if err == nil && !isEventStream(resp) {
		defer s.close()
		return a.notStreamed(s, resp)
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
		return a.failed(err)
	}
	return a.streamed()
}

func isEventStream(resp *http.Response) bool {
	kind, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return resp.StatusCode == http.StatusOK && strings.TrimSpace(kind) == eventStream
}

// notStreamed takes an error answer to a request for a stream.
func (a *attempt) notStreamed(s *source, resp *http.Response) Result {
	if resp.StatusCode < http.StatusBadRequest {
		a.gate.drop()
		_ = resp.Body.Close()
		return a.failed(errors.WithType(errors.New("answer isn't a stream"), errGarbage))
	}
	return a.answer(s.ctx, resp)
}

// relay passes events on until the end marker.
func (a *attempt) relay(s *source) error {
	for {
		e, err := s.next()
		if err != nil {
			return err
		}
		fresh, err := a.inOrder(e)
		if err != nil {
			return err
		}
		if !fresh {
			continue
		}
		if err := a.pass(e); err != nil {
			return err
		}
		if e.done {
			s.drain()
			return nil
		}
	}
}

// inOrder guards against a resumed stream that repeats or skips events, which would
// show as doubled or missing text: only the event with the next number passes, one
// that has passed already is dropped, and a gap ends this connection.
func (a *attempt) inOrder(e event) (bool, error) {
	switch {
	case e.data == nil:
		return false, nil
	case !e.hasID && (e.done || !a.call.resumes(a.slot.Upstream())):
		return true, nil
	case !e.hasID:
		return false, errors.WithType(errors.New("event without id"), errGarbage)
	case e.id < a.next:
		return false, nil
	case e.id > a.next:
		return false, errors.WithType(errors.Errorf("event %d came in place of %d", e.id, a.next), errGarbage)
	}
	a.next++
	return true, nil
}

func (a *attempt) pass(e event) error {
	a.bytes += int64(len(e.raw))
	if a.bytes > a.d.limits.MaxStream {
		return errTooMuch
	}
	if !e.done {
		a.meter.event(time.Now(), e.data)
	}
	if !a.begun {
		a.begun = true
		a.sink.Begin(http.StatusOK, http.Header{"Content-Type": {eventStream}, "Cache-Control": {"no-cache"}})
	}
	if err := a.sink.Write(e.raw); err != nil {
		return errors.WithType(err, errCaller)
	}
	return nil
}

func (a *attempt) streamed() Result {
	tokens := a.meter.tokens()
	return Result{
		Verdict: verdict.Ran,
		Outcome: wire.OutcomeServed,
		Status:  http.StatusOK,
		Tokens:  tokens,
		Cost:    a.cost(tokens),
		First:   a.meter.firstTime(),
		Step:    a.meter.step(),
	}
}
