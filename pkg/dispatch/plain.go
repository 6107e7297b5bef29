package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// plain runs a call whose answer is taken whole before any of it is passed on, so
// that a broken one becomes an error answer and not a broken connection.
func (a *attempt) plain() Result {
	ctx, stop := context.WithCancelCause(a.ctx)
	defer stop(nil)
	timer := time.AfterFunc(a.d.limits.Answer, func() { stop(errHang) })
	defer timer.Stop()
	resp, err := a.send(ctx)
	if err != nil {
		return a.failed(err)
	}
	return a.answer(ctx, resp)
}

// answer takes the rest of an answer that isn't streamed.
func (a *attempt) answer(ctx context.Context, resp *http.Response) Result {
	defer resp.Body.Close()
	body, err := a.readWhole(ctx, resp)
	if err != nil {
		return a.failed(err)
	}
	if a.call.Model && !json.Valid(body) {
		a.gate.drop()
		return a.failed(errGarbage)
	}
	if refusedUnrun(resp) {
		return a.refused()
	}
	return a.whole(resp, body)
}

// refused makes the Result of an upstream's own statement that it ran nothing.
func (a *attempt) refused() Result {
	return Result{
		Verdict: verdict.NotRun,
		Outcome: wire.OutcomeFailed,
		Err:     verdict.Wrap(errRefused, verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeNoUpstream, errRefused.Error()).After(retryAfter),
	}
}

func refusedUnrun(resp *http.Response) bool {
	busy := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return busy && verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun
}

func (a *attempt) whole(resp *http.Response, body []byte) Result {
	elapsed := time.Since(a.meter.began)
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
		r.Tokens, _ = usageOf(body)
		if r.Tokens > 0 {
			r.Step = elapsed / time.Duration(r.Tokens)
		}
	} else {
		r.First = elapsed
	}
	r.Cost = a.cost(r.Tokens)
	return r
}

// StatusVerdict is the verdict of a whole answer: an error status doesn't say how far
// the upstream got.
func StatusVerdict(status int) verdict.Verdict {
	if status < http.StatusBadRequest {
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// readWhole refuses an answer whose end only shows by a closed connection: a crash of
// the upstream would look the same, and a cut answer would pass for a whole one.
func (a *attempt) readWhole(ctx context.Context, resp *http.Response) ([]byte, error) {
	if a.call.Method == http.MethodHead || resp.Body == http.NoBody {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		a.gate.drop()
		return nil, errors.WithType(errors.New("answer without declared length"), errGarbage)
	}
	limit := a.d.limits.MaxAnswer
	if resp.ContentLength > limit {
		return nil, errTooMuch
	}
	body, err := readUpTo(resp.Body, resp.ContentLength, limit)
	switch {
	case err != nil:
		return nil, broke(a.ctx, ctx, err, false)
	case int64(len(body)) > limit:
		return nil, errTooMuch
	}
	return body, nil
}

// readUpTo reads size bytes, or to the end but at most limit+1 bytes when size is negative.
func readUpTo(r io.Reader, size, limit int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(io.LimitReader(r, limit+1))
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	_, err := io.ReadFull(r, make([]byte, 1))
	if err == io.EOF {
		err = nil
	}
	return body, err
}
