package dispatch

import (
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// canResume reports whether the engine can resume this attempt: its connection broke or timed out
// after a byte of the request may have reached it.
func (a *attempt) canResume(err error) bool {
	if !errors.Is(err, errConnBroken) && !errors.Is(err, errTimeout) {
		return false
	}
	return a.gate.seal() == gateOpen && a.call.resumes(a.slot.Upstream())
}

// resume continues from the first missing event, a limited number of times.
func (a *attempt) resume(err error) error {
	pause := a.d.limits.ResumeBackoff
	for range a.d.limits.MaxResumes {
		if !a.wait(pause) {
			return errCallerGone
		}
		pause *= 2
		err = a.resumeOnce()
		if err == nil || !a.canResume(err) {
			return err
		}
	}
	return err
}

func (a *attempt) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// resumeOnce requests the rest of the stream on a new connection and relays it.
func (a *attempt) resumeOnce() error {
	s := a.newSource()
	defer s.close()
	target, err := a.resolve(a.streamPath(), "from="+strconv.FormatInt(a.nextEvent, 10))
	if err != nil {
		return errors.WithType(err, errConnBroken)
	}
	g := new(gate)
	ctx := httptrace.WithClientTrace(s.ctx, newTrace(g))
	req := (&http.Request{Method: http.MethodGet, URL: target, Header: http.Header{HeaderAttempt: {a.id}}}).WithContext(ctx)
	resp, err := a.d.transport.RoundTrip(req)
	if err != nil {
		return classifyError(a.ctx, s.ctx, err, g.connEnded())
	}
	if resp, err = a.checkEcho(resp, g); err != nil {
		return err
	}
	if !isEventStream(resp) {
		_ = resp.Body.Close()
		return errors.WithType(errors.Errorf("resume answered %d", resp.StatusCode), errStreamLost)
	}
	s.open(resp, a.d.limits.MaxEvent)
	return a.relay(s)
}

func (a *attempt) streamPath() string { return "/v1/streams/" + a.id }
