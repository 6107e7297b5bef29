package edge

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// fakeGuard records how each call ended, and refuses with err when it is set.
type fakeGuard struct {
	err   error
	ended []string
	body  string
}

func (g *fakeGuard) Begin(context.Context, string, string, uint64) (Ticket, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g, nil
}

func (g *fakeGuard) Ran(_ int, body []byte) { g.ended, g.body = append(g.ended, "ran"), string(body) }
func (g *fakeGuard) MayHaveRun()            { g.ended = append(g.ended, "may-have-run") }
func (g *fakeGuard) NotRun()                { g.ended = append(g.ended, "not-run") }

// A caller saves progress under an idempotency key. Whatever becomes of the call, its
// record must end with exactly one statement, and it must be the one the caller got.
func TestRecordEndsAsTheAnswerSays(t *testing.T) {
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	busy := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(dispatch.HeaderAttempt, r.Header.Get(dispatch.HeaderAttempt))
		w.Header().Set(verdict.Header, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for want, upstream := range map[string]http.HandlerFunc{"ran": service, "may-have-run": broken, "not-run": busy} {
		guard := new(fakeGuard)
		f := newFixture(t, upstream, func(c *Config) { c.Guard = guard })
		resp := send(t, f.request(t, http.MethodPost, "/services/records/save", "saved", HeaderKey, "k"))
		same(t, "verdict", want, resp.Header.Get(verdict.Header))
		same(t, "record", []string{want}, guard.ended)
		if want == "ran" {
			same(t, "recorded answer", "saved", guard.body)
		}
	}
}

// A caller didn't get the answer to its save and sends it again, at any router: the
// recorded answer comes back, and nothing runs.
func TestRecordedAnswerIsReplayed(t *testing.T) {
	f := newFixture(t, noUpstream(t), func(c *Config) {
		c.Guard = &fakeGuard{err: &Replay{Status: http.StatusCreated, Body: []byte(`{"saved":1}`)}}
	})
	resp := send(t, f.request(t, http.MethodPost, "/services/records/save", "saved", HeaderKey, "k"))
	body, _ := io.ReadAll(resp.Body)
	same(t, "status", http.StatusCreated, resp.StatusCode)
	same(t, "body", `{"saved":1}`, string(body))
	same(t, "verdict", "ran", resp.Header.Get(verdict.Header))
	same(t, "slots", 0, len(f.scheduler.gotten))
}

// The key was used and nobody knows how the call ended: the refusal must not claim
// that nothing has run.
func TestDuplicateKeepsItsVerdict(t *testing.T) {
	f := newFixture(t, noUpstream(t), func(c *Config) {
		c.Guard = &fakeGuard{err: verdict.New(verdict.MayHaveRun, http.StatusConflict, verdict.CodeDuplicate, "used")}
	})
	resp := send(t, f.request(t, http.MethodPost, "/services/records/save", "saved", HeaderKey, "k"))
	same(t, "status", http.StatusConflict, resp.StatusCode)
	same(t, "verdict", "may-have-run", refusal(t, resp).Verdict)
}
