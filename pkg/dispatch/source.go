package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// source is one connection's part of a streamed answer.
type source struct {
	caller context.Context
	ctx    context.Context
	stop   context.CancelCauseFunc
	hang   *time.Timer
	limit  time.Duration
	resp   *http.Response
	events *eventReader
}

func (a *attempt) newSource() *source {
	s := &source{caller: a.ctx, limit: a.d.limits.Hang}
	s.ctx, s.stop = context.WithCancelCause(a.ctx)
	s.hang = time.AfterFunc(s.limit, func() { s.stop(errHang) })
	return s
}

func (s *source) open(resp *http.Response, maxEvent int) {
	s.resp = resp
	s.events = newEventReader(resp.Body, maxEvent)
}

// next gives the next event. The hang timer runs only while the upstream is waited
// for: a caller that reads slowly must not make its upstream look hung.
func (s *source) next() (event, error) {
	raw, err := s.events.cut()
	for raw == nil && err == nil {
		s.hang.Reset(s.limit)
		end := s.events.fill()
		s.hang.Stop()
		if raw, err = s.events.cut(); raw == nil && err == nil {
			raw, err = s.ended(end)
		}
	}
	if err != nil {
		return event{}, err
	}
	return parseEvent(raw)
}

// ended gives what is left when the source ended with err; nil for no end.
func (s *source) ended(err error) ([]byte, error) {
	if err == nil || errors.Is(err, errTooMuch) {
		return nil, err
	}
	if raw := s.events.last(); raw != nil {
		return raw, nil
	}
	return nil, broke(s.caller, s.ctx, err, false)
}

// drainTime bounds the wait for the end of a body after its end marker.
const drainTime = 50 * time.Millisecond

// drain reads the body's end after the end marker, so that the connection can be used
// again. Anything more than the end closes the connection.
func (s *source) drain() {
	if s.events.begin != s.events.end {
		return
	}
	s.hang.Reset(drainTime)
	_, _ = io.ReadFull(s.resp.Body, s.events.buf[:1])
}

func (s *source) close() {
	s.hang.Stop()
	if s.resp != nil {
		_ = s.resp.Body.Close()
		s.events.release()
	}
	s.stop(nil)
}
