package dispatch

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/responsehead"
	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// attempt is one request that is sent to one upstream.
type attempt struct {
	d           *Dispatcher
	ctx         context.Context
	slot        sched.Slot
	call        *Call
	sink        Sink
	id          string
	gate        *gate
	meter       meter
	sinkBegun   bool
	nextEvent   int64         // ID of the event that is expected next
	streamBytes int64         // bytes of the stream that were relayed
	lease       buffers.Lease // memory of the response
}

func (a *attempt) run() Result {
	if a.call.Stream {
		return a.stream()
	}
	return a.plain()
}

// maxConnTries is the number of pooled connections to try if the upstream closes them before any
// byte of the request is sent.
const maxConnTries = 4

// send sends the request and returns the response's header, which is checked to belong to this
// attempt. If a pooled connection turns out to be closed before the first byte, the upstream is not
// at fault and nothing was sent, so another connection is used.
func (a *attempt) send(ctx context.Context) (resp *http.Response, err error) {
	for range maxConnTries {
		resp, err = a.roundTrip(ctx)
		if err == nil || ctx.Err() != nil || !a.gate.staleConn() {
			return resp, err
		}
	}
	return nil, err
}

func (a *attempt) roundTrip(ctx context.Context) (*http.Response, error) {
	req, err := a.newRequest(ctx)
	if err != nil {
		a.gate.seal()
		return nil, errors.WithType(err, errConnBroken)
	}
	resp, err := a.d.transport.RoundTrip(req)
	if err != nil {
		return nil, classifyError(a.ctx, ctx, err, a.gate.connEnded())
	}
	a.meter.sentAt = a.gate.firstWrite()
	return a.checkEcho(resp, a.gate)
}

func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	target, err := a.resolve(a.call.Path, a.call.Query)
	if err != nil {
		return nil, err
	}
	req := (&http.Request{
		Method:        a.call.Method,
		URL:           target,
		Host:          target.Host,
		Header:        a.call.Header.Clone(),
		Body:          newUnreplayableBody(a.call.Body),
		ContentLength: int64(len(a.call.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(httptrace.WithClientTrace(ctx, newTrace(a.gate)))
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(HeaderAttempt, a.id)
	return req, nil
}

func (a *attempt) resolve(path, query string) (*url.URL, error) {
	text := strings.TrimSuffix(a.slot.URL(), "/") + path
	if query != "" {
		text += "?" + query
	}
	return url.Parse(text)
}

// checkEcho guards against responses to other attempts: if requests and responses on a connection
// are out of step, the echoed ID is a different one or missing. The connection is closed, since all
// later responses on it would be out of step too.
func (a *attempt) checkEcho(resp *http.Response, g *gate) (*http.Response, error) {
	echoed := resp.Header[HeaderAttempt]
	if len(echoed) != 1 || echoed[0] != a.id {
		g.dropConn()
		_ = resp.Body.Close()
		return nil, errWrongID
	}
	err := responsehead.Check(resp)
	if err == nil {
		err = g.checkFraming()
	}
	if err != nil {
		g.dropConn()
		_ = resp.Body.Close()
		return nil, errors.WithType(err, errMalformed)
	}
	a.d.observe(a.slot.Upstream(), resp)
	return resp, nil
}

// failedResult returns the Result of an attempt without a complete response.
func (a *attempt) failedResult(err error) Result {
	state := a.gate.seal()
	if state != gateOpen {
		return a.unsentResult(state, err)
	}
	if !crashed(err) {
		a.cancel()
	}
	return Result{
		Verdict:       verdict.MayHaveRun,
		Outcome:       outcomeOf(err),
		Err:           errorOf(err, verdict.MayHaveRun),
		Tokens:        a.meter.tokens(),
		Cost:          a.cost(a.meter.tokens()),
		TimeToFirst:   a.meter.timeToFirst(),
		EventInterval: a.meter.meanInterval(),
	}
}

// retryAfter is sent to callers whose request wasn't run: about the time it takes to eject a
// crashed upstream from its pool.
const retryAfter = time.Second

// unsentResult returns the Result of an attempt of which no byte was sent.
func (a *attempt) unsentResult(state gateState, err error) Result {
	r := Result{Verdict: verdict.NotRun, Outcome: wire.OutcomeUnused}
	switch {
	case state == gateExpired:
		err = errGrantExpired
		r.Err = verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeNoUpstream, errGrantExpired.Error()).WithRetryAfter(retryAfter)
	case errors.Is(err, errCallerGone):
		r.Err = errorOf(err, verdict.NotRun)
	default:
		r.Outcome = wire.OutcomeUnreachable
		r.Err = verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeNoUpstream, "the upstream can't be reached").WithRetryAfter(retryAfter)
	}
	return r
}

func (a *attempt) cost(tokens int) wire.Units {
	if a.call.Model {
		return wire.Units(tokens)
	}
	return a.call.Units
}
