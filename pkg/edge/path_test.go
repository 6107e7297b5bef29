package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/dispatch"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

const streamBody = `{"model":"m","prompt":"p","stream":true}`

func readResponse(t testing.TB, c net.Conn) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// beginStream sends the first event of a stream and reads the request's body.
func beginStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(dispatch.HeaderAttempt, r.Header.Get(dispatch.HeaderAttempt))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte("id: 0\ndata: {}\n\n"))
	_ = http.NewResponseController(w).Flush()
}

// An engine dies in the middle of a stream and can't resume it. The caller has read a
// part with status 200. Its connection must be broken off: an orderly end would pass
// the part for the whole.
func TestCutStreamBreaksTheConnection(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			beginStream(w, r)
		}
		panic(http.ErrAbortHandler)
	}), nil)
	resp := send(t, f.request(t, http.MethodPost, "/v1/completions", streamBody))
	same(t, "status", http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	same(t, "part", "id: 0\ndata: {}\n\n", string(body))
	same(t, "end", io.ErrUnexpectedEOF.Error(), err.Error())
}

// Guards against a stream that was broken off and looks complete to a caller of HTTP/1.0, whose
// answer ends with its connection.
func TestCutStreamResetsAnHTTP10Connection(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			beginStream(w, r)
		}
		panic(http.ErrAbortHandler)
	}), nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(streamBody), streamBody)
	answer, err := io.ReadAll(c)
	same(t, "part", true, strings.HasSuffix(string(answer), "\r\n\r\nid: 0\ndata: {}\n\n"))
	same(t, "reset", true, errors.Is(err, syscall.ECONNRESET))
}

// streamUntilCancelled streams until the attempt is cancelled; each cancel is told.
func streamUntilCancelled(text string, cancelled chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			w.Header().Set(dispatch.HeaderAttempt, r.Header.Get(dispatch.HeaderAttempt))
			cancelled <- struct{}{}
			return
		}
		beginStream(w, r)
		for n := 1; r.Context().Err() == nil && text != ""; n++ {
			_, _ = io.WriteString(w, text)
		}
		<-r.Context().Done()
	}
}

// A caller reads the first event of a stream and closes its connection.
func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	f := newFixture(t, streamUntilCancelled("", cancelled), nil)
	ctx, leave := context.WithCancel(t.Context())
	resp := send(t, f.request(t, http.MethodPost, "/v1/completions", streamBody).WithContext(ctx))
	_, _ = resp.Body.Read(make([]byte, 1))
	leave()
	<-cancelled
}

// A caller stops reading while its stream goes on. Its slot would be taken for good;
// the attempt must be cancelled once nothing could be written for WriteTimeout.
func TestSlowReaderIsCutOff(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	event := "data: {\"text\":\"" + strings.Repeat("x", 32<<10) + "\"}\n\n"
	f := newFixture(t, streamUntilCancelled(event, cancelled), func(c *Config) {
		c.Limits.WriteTimeout = 50 * time.Millisecond
		c.Source = noResume{}
	})
	resp := raw(t, f, rawHead+"Content-Length: 40\r\n\r\n"+streamBody)
	same(t, "status", http.StatusOK, resp.StatusCode)
	<-cancelled
}

type noResume struct{ fakeCatalog }

func (c noResume) Current() Catalog  { return c }
func (noResume) Resumes(string) bool { return false }

// One upstream can't be reached: nothing ran there, so the request goes to another one
// that isn't excluded. What may have run is never sent again.
func TestOnlyNotRunIsTriedAgain(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	var requests atomic.Int32
	f := newFixture(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}), func(c *Config) {
		s := c.Scheduler.(*fakeScheduler)
		s.urls = append([]string{dead.URL}, s.urls...)
	})
	resp := send(t, f.request(t, http.MethodPost, "/v1/completions", modelBody))
	same(t, "status", http.StatusBadGateway, resp.StatusCode)
	same(t, "should retry", "false", resp.Header.Get(headerShouldRetry))
	same(t, "verdict", "may-have-run", refusal(t, resp).Verdict)
	same(t, "requests", int32(1), requests.Load())
	same(t, "excluded", []string{dead.URL}, f.scheduler.gotten[1].Exclude)
	same(t, "outcomes", []wire.Outcome{wire.OutcomeUnreachable, wire.OutcomeDied}, f.scheduler.done)
}

// All upstreams are gone. Retries must stop with the budget and not go on for as long
// as the deadline allows.
func TestRetryBudgetEnds(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	f := newFixture(t, noUpstream(t), func(c *Config) {
		c.Scheduler.(*fakeScheduler).urls = []string{dead.URL}
	})
	resp := send(t, f.request(t, http.MethodPost, "/v1/completions", modelBody))
	same(t, "verdict", "not-run", refusal(t, resp).Verdict)
	same(t, "attempts", 1+retryBurst, len(f.scheduler.gotten))
}

// A router is told to leave while a stream runs. The stream must end whole, new
// requests are refused as not run with other addresses, and only then is it done.
func TestDrainFinishesWhatRuns(t *testing.T) {
	finish := make(chan struct{})
	counted := new(refusals)
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		<-finish
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}), func(c *Config) { c.Observer = counted })
	running := send(t, f.request(t, http.MethodPost, "/v1/completions", streamBody))
	f.edge.Drain()
	refused := send(t, f.request(t, http.MethodPost, "/v1/completions", modelBody))
	same(t, "status", http.StatusServiceUnavailable, refused.StatusCode)
	same(t, "closed", true, refused.Close)
	detail := refusal(t, refused)
	same(t, "code", verdict.CodeDraining, detail.Code)
	same(t, "entries", []string{"127.0.0.1:9"}, detail.Entries)
	same(t, "ready", http.StatusServiceUnavailable, send(t, f.request(t, http.MethodGet, "/readyz", "")).StatusCode)
	same(t, "live", http.StatusOK, send(t, f.request(t, http.MethodGet, "/healthz", "")).StatusCode)
	same(t, "in flight", 1, f.edge.InFlight())
	same(t, "counted", int32(1), counted.draining.Load())
	close(finish)
	body, err := io.ReadAll(running.Body)
	same(t, "error", nil, err)
	same(t, "stream", "id: 0\ndata: {}\n\ndata: [DONE]\n\n", string(body))
	same(t, "wait", nil, f.edge.Wait(t.Context()))
}
