package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

const (
	endlessHead    = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\n"
	endlessChunked = endlessHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// respondEndless sends start, then part again and again until its connection is closed.
func respondEndless(start, part string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		c, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		data := []byte(strings.Repeat(part, 1+8<<10/len(part)))
		for _, err = io.WriteString(c, start); err == nil; {
			_, err = c.Write(data)
		}
	}
}

// requireCut sends a request, and requires that its caller doesn't take what it gets for complete.
func (env *testEnv) requireCut(path string, header ...string) (status int, body []byte) {
	resp, err := env.client.Do(env.newRequest(path, header...))
	require.NoError(env.t, err)
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	require.Error(env.t, err)
	return resp.StatusCode, body
}

// requireTimedOut sends a request, and requires that its caller gets a response that is cut, or that says that the
// time is over. On a slow host the latter comes before anything is relayed.
func (env *testEnv) requireTimedOut(path string, header ...string) {
	resp, err := env.client.Do(env.newRequest(path, header...))
	require.NoError(env.t, err)
	defer resp.Body.Close()
	if _, err = io.ReadAll(resp.Body); err == nil {
		require.Equal(env.t, http.StatusGatewayTimeout, resp.StatusCode)
		require.Empty(env.t, resp.Header.Get("X-Id"), "the upstream's response looks complete")
	}
}

// requireNothingHeld requires that the requests that have ended hold no memory of the budget.
func (env *testEnv) requireNothingHeld() {
	require.Eventually(env.t, func() bool { return env.gateway.Active() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(env.t, env.gateway.pools.Buffers().Used())
}

// recordLog makes the gateway log to the handler that it returns, and count in the scope.
func (env *testEnv) recordLog() (*memory.Handler, tally.TestScope) {
	entries, scope := memory.New(), tally.NewTestScope("", nil)
	env.gateway.log = &log.Logger{Handler: entries, Level: log.InfoLevel}
	env.gateway.metrics = newRequestMetrics(scope)
	return entries, scope
}

func counted(scope tally.TestScope, metric, bound string) int64 {
	var n int64
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == metric && c.Tags()["bound"] == bound {
			n += c.Value()
		}
	}
	return n
}

// Guards against a head without end that holds a request until its deadline instead of being retried, and whose
// upstream then gets the next request.
func TestHeadsWithoutEndAreRetriedElsewhere(t *testing.T) {
	env := newTestEnv(t)
	entries, scope := env.recordLog()
	env.startUpstreams(respondEndless(endlessHead+"X-Fill: ", "f"), respondWith("ok"))
	for range 3 {
		status, body, _ := env.get("/safe/")
		require.Equal(t, 200, status)
		require.Equal(t, "ok", body)
		env.resetHealth()
	}
	env.get("/safe/")
	_, usable := env.gateway.health.Usable(env.instances[0].Life(), time.Now())
	require.False(t, usable)
	env.requireNothingHeld()
	require.EqualValues(t, 4, counted(scope, "gateway.responses_exceeding", "head_bytes"))
	lines := 0
	for _, e := range entries.Entries {
		if e.Fields["event"] == "response_exceeds_bound" {
			lines++
			require.Equal(t, "head_bytes", e.Fields["bound"])
			require.Contains(t, e.Fields["error"], "response head exceeds 65536 bytes")
		}
	}
	require.Positive(t, lines)
}

// Guards against a head without end that counts as not run, although the request was sent.
func TestAHeadWithoutEndMayHaveRun(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondEndless(endlessHead+"X-Fill: ", "f"), respondWith("ok"))
	status, _, _ := env.get("/once/")
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, 1, env.upstreamRequests())
}

// Guards against a body without end that lasts beyond the timeout or looks complete. What is no
// stream is relayed only once it exceeds maxBufferedResponse, which must happen before its deadline.
func TestBodiesWithoutEndAreCutAtTheTimeout(t *testing.T) {
	chunked := func(part string) http.HandlerFunc { return respondEndless(endlessChunked, chunk(part)) }
	failed := respondEndless(strings.Replace(endlessChunked, "200 OK", "500 Error", 1), chunk(strings.Repeat("x", 1000)))
	for name, c := range map[string]struct {
		path     string
		deadline string
		respond  http.HandlerFunc
	}{
		"answer":                {"/safe/", "2000", chunked(strings.Repeat("x", 1000))},
		"answer until close":    {"/safe/", "2000", respondEndless(endlessHead+"\r\n", "x")},
		"error":                 {"/safe/", "2000", failed},
		"error of a stream":     {"/stream/", "2000", failed},
		"events":                {"/stream/", "300", chunked("data: x\n\n")},
		"events of a resumable": {"/resume/", "300", chunked("data: x\n\n")},
		"comments":              {"/stream/", "300", chunked(":\n\n")},
		"empty events":          {"/stream/", "300", chunked("\n\n")},
		"data after the last":   {"/stream/", "300", respondEndless(endlessChunked+chunk(events(1, 3)+"data: [DONE]\n\n"), chunk("data: x\n\n"))},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(c.respond, c.respond)
			env.requireTimedOut(c.path, "X-Deadline", c.deadline)
			env.requireNothingHeld()
		})
	}
}

// Guards against an error without end in chunks of one byte that looks complete. A slow router doesn't reach
// maxBufferedResponse before the deadline; its caller then gets the error for that.
func TestErrorsInSmallChunksWithoutEndAreCutOrTimeOut(t *testing.T) {
	respond := respondEndless(strings.Replace(endlessChunked, "200 OK", "500 Error", 1), chunk("x"))
	for _, path := range []string{"/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(respond, respond)
			resp, err := env.client.Do(env.newRequest(path, "X-Deadline", "300"))
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err == nil {
				require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
				require.Equal(t, errTimeout().Message+"\n", string(body))
			} else {
				require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
			}
			env.requireNothingHeld()
		})
	}
}

// Guards against an unfinished event without end that fills the memory, or is held until the timeout.
func TestEventsWithoutEndBreakTheStream(t *testing.T) {
	for name, part := range map[string]string{"field": "data: ", "comment": ": comment\n", "fields": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			_, scope := env.recordLog()
			env.startUpstreams(respondEndless(endlessChunked+chunk(events(1, 2)), chunk(part)), respondWith(events(3, 4)))
			_, body := env.requireCut("/stream/")
			require.Equal(t, events(1, 2), string(body))
			_, usable := env.gateway.health.Usable(env.instances[0].Life(), time.Now())
			require.False(t, usable)
			env.resetHealth()
			status, resumed, _ := env.get("/resume/")
			require.Equal(t, 200, status)
			require.Equal(t, events(1, 4), resumed)
			env.requireNothingHeld()
			require.EqualValues(t, 2, counted(scope, "gateway.responses_exceeding", "event_bytes"))
		})
	}
}

// Guards against a body of a declined request that arrives slowly or without end, while the request waits.
func TestDeclinedRequestsDontWaitForABodyWithoutEnd(t *testing.T) {
	const declined = "HTTP/1.1 503 Unavailable\r\nX-Id: request-1\r\nX-Proof: ran\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, decline := range map[string]http.HandlerFunc{
		"endless": respondEndless(declined, chunk("x")),
		"silent": func(rw http.ResponseWriter, r *http.Request) {
			c, buffered, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, declined)
			buffered.ReadByte() // until the connection ends
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(decline, respondWith("ok"))
			status, body, _ := env.get("/once/", "X-Deadline", "3000")
			require.Equal(t, 200, status)
			require.Equal(t, "ok", body)
		})
	}
}
