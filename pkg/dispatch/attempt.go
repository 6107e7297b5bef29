package dispatch

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// attempt is one request on its way through one upstream.
type attempt struct {
	d     *Dispatcher
	ctx   context.Context
	slot  sched.Slot
	call  *Call
	sink  Sink
	id    string
	gate  *gate
	meter meter
	begun bool
	next  int64 // number of the event that must come next
	bytes int64 // bytes of the stream so far
}

func (a *attempt) run() Result {
	if a.call.Stream {
		return a.stream()
	}
	return a.plain()
}

// staleTries bounds how many kept-alive connections are tried that were closed before
// any byte of the request went out on them.
const staleTries = 4

// send sends the request and gives the answer's head, checked to be this attempt's. A
// kept-alive connection that turns out to be closed before its first byte is no fault of
// the upstream, and nothing has left: another connection is taken.
func (a *attempt) send(ctx context.Context) (resp *http.Response, err error) {
	for range staleTries {
		resp, err = a.trip(ctx)
		if err == nil || ctx.Err() != nil || !a.gate.fresh() {
			return resp, err
		}
	}
	return nil, err
}

func (a *attempt) trip(ctx context.Context) (*http.Response, error) {
	req, err := a.request(ctx)
	if err != nil {
		a.gate.seal()
		return nil, errors.WithType(err, errBroken)
	}
	resp, err := a.d.transport.RoundTrip(req)
	if err != nil {
		return nil, broke(a.ctx, ctx, err, a.gate.ended())
	}
	a.meter.began = a.gate.beganAt()
	return a.checked(resp, a.gate)
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	target, err := a.target(a.call.Path, a.call.Query)
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: a.gate.arm}
	req := (&http.Request{
		Method:        a.call.Method,
		URL:           target,
		Host:          target.Host,
		Header:        a.call.Header.Clone(),
		Body:          newOnceBody(a.call.Body),
		ContentLength: int64(len(a.call.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(HeaderAttempt, a.id)
	return req, nil
}

func (a *attempt) target(path, query string) (*url.URL, error) {
	text := strings.TrimSuffix(a.slot.URL(), "/") + path
	if query != "" {
		text += "?" + query
	}
	return url.Parse(text)
}

// checked guards against answers of other attempts: on a connection that got out of
// step the echoed ID is another one or missing. The connection is dropped, since all
// that follows on it would be out of step too.
func (a *attempt) checked(resp *http.Response, g *gate) (*http.Response, error) {
	echo := resp.Header[HeaderAttempt]
	switch {
	case len(echo) != 1 || echo[0] != a.id:
		g.drop()
		_ = resp.Body.Close()
		return nil, errWrongID
	case resp.StatusCode < http.StatusOK:
		g.drop()
		_ = resp.Body.Close()
		return nil, errors.WithType(errors.Errorf("status %d", resp.StatusCode), errGarbage)
	}
	return resp, nil
}

// failed makes the Result of an attempt without a whole answer.
func (a *attempt) failed(err error) Result {
	state := a.gate.seal()
	if state != gateOpen {
		return a.unsent(state, err)
	}
	if !died(err) {
		a.cancel()
	}
	return Result{
		Verdict: verdict.MayHaveRun,
		Outcome: outcomeOf(err),
		Err:     errorOf(err, verdict.MayHaveRun),
		Tokens:  a.meter.tokens(),
		Cost:    a.cost(a.meter.tokens()),
		First:   a.meter.firstTime(),
		Step:    a.meter.step(),
	}
}

// retryAfter is told to callers whose request wasn't run by an upstream: about the time
// in which a dead upstream is taken out of its pool.
const retryAfter = time.Second

// unsent makes the Result of an attempt of which no byte left.
func (a *attempt) unsent(state gateState, err error) Result {
	r := Result{Verdict: verdict.NotRun, Outcome: wire.OutcomeUnused}
	switch {
	case state == gateLapsed:
		err = errLapsed
		r.Err = verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeNoUpstream, errLapsed.Error()).After(retryAfter)
	case errors.Is(err, errCaller):
		r.Err = errorOf(err, verdict.NotRun)
	default:
		r.Outcome = wire.OutcomeUnreachable
		r.Err = verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeNoUpstream, "the upstream can't be reached").After(retryAfter)
	}
	return r
}

func (a *attempt) cost(tokens int) wire.Units {
	if a.call.Model {
		return wire.Units(tokens)
	}
	return a.call.Units
}
