package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// source is the part of a stream that one connection carries.
type source struct {
	caller  context.Context
	ctx     context.Context
	stop    context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
	resp    *http.Response
	events  *eventReader
	hold    func(bytes int64) bool // see eventReader
}

func (a *attempt) newSource() *source {
	s := &source{caller: a.ctx, timeout: a.d.limits.EventTimeout, hold: a.lease.Hold}
	s.ctx, s.stop = context.WithCancelCause(a.ctx)
	s.timer = time.AfterFunc(s.timeout, func() { s.stop(errTimeout) })
	return s
}

func (s *source) open(resp *http.Response, maxEvent int) {
	s.resp = resp
	s.events = newEventReader(resp.Body, maxEvent)
	s.events.hold = s.hold
}

// next returns the next event. The timer runs only while waiting for the upstream: a caller that
// reads slowly must not make its upstream look hung.
func (s *source) next() (event, error) {
	raw, err := s.events.nextBuffered()
	for raw == nil && err == nil {
		s.timer.Reset(s.timeout)
		fillErr := s.events.fill()
		s.timer.Stop()
		if raw, err = s.events.nextBuffered(); raw == nil && err == nil {
			raw, err = s.handleEnd(fillErr)
		}
	}
	if err != nil {
		return event{}, err
	}
	return parseEvent(raw)
}

// handleEnd returns what is left if the source ended with err; a nil err means that it hasn't
// ended.
func (s *source) handleEnd(err error) ([]byte, error) {
	if err == nil || errors.Is(err, errTooLarge) || errors.Is(err, errNoMemory) {
		return nil, err
	}
	if raw := s.events.finalEvent(); raw != nil {
		return raw, nil
	}
	return nil, classifyError(s.caller, s.ctx, err, false)
}

// drainTimeout bounds the wait for the end of a body after its end marker.
const drainTimeout = 50 * time.Millisecond

// drain reads the end of the body after the end marker, so that the connection can be reused. If
// more than the end follows, the connection is closed.
func (s *source) drain() {
	if s.events.start != s.events.end {
		return
	}
	s.timer.Reset(drainTimeout)
	_, _ = io.ReadFull(s.resp.Body, s.events.buf[:1])
}

func (s *source) close() {
	s.timer.Stop()
	if s.resp != nil {
		_ = s.resp.Body.Close()
		s.events.release()
	}
	s.stop(nil)
}
