package dispatch

import (
	"net/http"
	"testing"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A status alone doesn't say how far an upstream got. The verdict is not-run only if the upstream
// itself says that it refused the request for lack of capacity.
func TestVerdictOfStatuses(t *testing.T) {
	cases := []struct {
		status  int
		header  string
		verdict verdict.Verdict
		outcome wire.Outcome
	}{
		{200, "", verdict.Ran, wire.OutcomeServed},
		{204, "", verdict.Ran, wire.OutcomeServed},
		{404, "", verdict.MayHaveRun, wire.OutcomeServed},
		{404, "not-run", verdict.MayHaveRun, wire.OutcomeServed},
		{429, "", verdict.MayHaveRun, wire.OutcomeServed},
		{429, "not-run", verdict.NotRun, wire.OutcomeFailed},
		{503, "not-run", verdict.NotRun, wire.OutcomeFailed},
		{500, "not-run", verdict.MayHaveRun, wire.OutcomeFailed},
		{503, "ran", verdict.MayHaveRun, wire.OutcomeFailed},
	}
	for _, c := range cases {
		up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			echoAttempt(w, r)
			if c.header != "" {
				w.Header().Set(verdict.Header, c.header)
			}
			w.WriteHeader(c.status)
		})
		r, slot, _ := do(t, up.URL, &Call{Method: http.MethodPost, Units: 16})
		checkEqual(t, "verdict", c.verdict, r.Verdict)
		checkEqual(t, "outcome", []wire.Outcome{c.outcome}, slot.outcomes)
		if r.Err == nil {
			checkEqual(t, "status", c.status, r.Status)
			checkEqual(t, "cost", wire.Units(16), r.Cost)
		}
	}
}

// An engine refuses a request for a stream: the caller receives the engine's own error response.
func TestErrorInPlaceOfStream(t *testing.T) {
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		echoAttempt(w, r)
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write([]byte(`{"error":{}}`))
	})
	r, _, sink := do(t, up.URL, streamCall(true))
	requireComplete(t, r)
	checkEqual(t, "status", http.StatusBadRequest, r.Status)
	checkEqual(t, "body", `{"error":{}}`, string(r.Body))
	checkEqual(t, "calls of Begin", 0, sink.begins)
}
