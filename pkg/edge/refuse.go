package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Headers of refusals. The OpenAI client libraries follow headerShouldRetry before
// their own rules, which would send again what may have run.
const (
	headerRetryAfter  = "Retry-After"
	headerShouldRetry = "X-Should-Retry"
)

// errorBody is an error in the shape of the OpenAI client libraries, with our fields.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string       `json:"message"`
	Type         string       `json:"type"`
	Code         verdict.Code `json:"code"`
	Verdict      string       `json:"verdict"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
	Entries      []string     `json:"entries,omitempty"`
}

// refuseEarly refuses what isn't known to be any organisation's yet, and counts it: a
// router that drains or can't confirm its configuration must show in the metrics.
func (e *Edge) refuseEarly(w http.ResponseWriter, err *verdict.Error) {
	e.Observer.Refused("", wire.ClassNormal, err.Code)
	e.refuse(w, err, "", "")
}

// refuse answers with err. Its Error is shared, so that it is only read.
func (e *Edge) refuse(w http.ResponseWriter, err *verdict.Error, org, model string) {
	entries := err.Entries
	if len(entries) == 0 && wantsEntries(err.Code) {
		entries, _ = e.Entries.For(org, model)
	}
	detail := errorDetail{
		Message:      err.Message,
		Type:         errorType(err.Status),
		Code:         err.Code,
		Verdict:      err.Verdict.String(),
		RetryAfterMs: err.RetryAfter.Milliseconds(),
		Entries:      entries,
	}
	body, _ := json.Marshal(errorBody{Error: detail})
	h := w.Header()
	if err.Code == verdict.CodeDraining {
		h.Set("Connection", "close")
	}
	if err.RetryAfter > 0 {
		h.Set(headerRetryAfter, wholeSeconds(err.RetryAfter))
	}
	if err.Verdict != verdict.NotRun {
		h.Set(headerShouldRetry, "false")
	}
	e.write(w, err.Status, "application/json", err.Verdict, body)
}

// notRun gives the error of a refusal before anything was sent. A step that returned
// another kind of error didn't send anything either.
func notRun(err error) *verdict.Error {
	var known *verdict.Error
	if errors.As(err, &known) && known.Verdict == verdict.NotRun {
		return known
	}
	return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, verdict.CodeInternal, "the request was not sent")
}

func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// wantsEntries tells whether another router may do what this one can't.
func wantsEntries(code verdict.Code) bool {
	switch code {
	case verdict.CodeDraining, verdict.CodeStale, verdict.CodeOverloaded, verdict.CodeNoUpstream, verdict.CodeDeadline:
		return true
	}
	return false
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}
