package dispatch

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// plain runs a call whose response is read whole before any of it is passed on, so that a broken
// one becomes an error response and not a truncated one.
func (a *attempt) plain() Result {
	ctx, stop := context.WithCancelCause(a.ctx)
	defer stop(nil)
	timer := time.AfterFunc(a.d.limits.ResponseTimeout, func() { stop(errTimeout) })
	defer timer.Stop()
	resp, err := a.send(ctx)
	if err != nil {
		return a.failedResult(err)
	}
	return a.readResponse(ctx, resp)
}

// readResponse reads the body of a response that isn't streamed.
func (a *attempt) readResponse(ctx context.Context, resp *http.Response) Result {
	defer resp.Body.Close()
	body, err := a.readBody(ctx, resp)
	if err != nil {
		return a.failedResult(err)
	}
	if a.call.Model && !json.Valid(body) {
		a.gate.dropConn()
		return a.failedResult(errMalformed)
	}
	if isRefusal(resp) {
		return a.refusedResult()
	}
	return a.completeResult(resp, body)
}

// refusedResult returns the Result for an upstream that said that it ran nothing.
func (a *attempt) refusedResult() Result {
	return Result{
		Verdict: verdict.NotRun,
		Outcome: wire.OutcomeFailed,
		Err:     verdict.Wrap(errRefused, verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeNoUpstream, errRefused.Error()).WithRetryAfter(retryAfter),
	}
}

func isRefusal(resp *http.Response) bool {
	busy := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return busy && verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun
}

func (a *attempt) completeResult(resp *http.Response, body []byte) Result {
	elapsed := time.Since(a.meter.sentAt)
	r := Result{
		Verdict: StatusVerdict(resp.StatusCode),
		Outcome: wire.OutcomeServed,
		Status:  resp.StatusCode,
		Header:  EndToEnd(resp.Header),
		Body:    body,
		Length:  resp.ContentLength,
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		r.Outcome = wire.OutcomeFailed
	}
	if a.call.Model {
		r.Tokens, _ = completionTokensOf(body)
		if r.Tokens > 0 {
			r.EventInterval = elapsed / time.Duration(r.Tokens)
		}
	} else {
		r.TimeToFirst = elapsed
	}
	r.Cost = a.cost(r.Tokens)
	return r
}

// StatusVerdict returns the verdict of a complete response. An error status doesn't say how far the
// upstream got.
func StatusVerdict(status int) verdict.Verdict {
	if status < http.StatusBadRequest {
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

func (a *attempt) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	if a.call.Method == http.MethodHead || resp.Body == http.NoBody {
		return nil, nil
	}
	limit := a.d.limits.MaxResponse
	if resp.ContentLength > limit {
		return nil, errTooLarge
	}
	body, extent, err := a.lease.Read(resp.Body, int(limit), 0)
	switch {
	case err != nil:
	case extent == buffers.TooLarge:
		return nil, errTooLarge
	case extent == buffers.NoRoom:
		return nil, errNoMemory
	}
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		err = a.confirmAlive(ctx)
	}
	if err != nil {
		return nil, classifyError(a.ctx, ctx, err, false)
	}
	return body, nil
}

// confirmAlive checks that the upstream is alive, after a response whose end only the connection's
// close marks. The connections of a crashed process are closed in the same way, but it accepts no
// new ones.
func (a *attempt) confirmAlive(ctx context.Context) error {
	target, err := a.resolve("", "")
	if err != nil {
		return err
	}
	c, err := newDialer().DialContext(ctx, "tcp", hostPort(target))
	if err != nil {
		return errors.Annotate(err, "connection closed by an upstream that accepts no new connections")
	}
	return c.Close()
}

// hostPort returns the address of u, with the scheme's default port if u has none.
func hostPort(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	return net.JoinHostPort(u.Hostname(), u.Scheme)
}
