package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamUntilLeft sends one event and nothing more.
func streamUntilLeft(rw http.ResponseWriter, r *http.Request) {
	io.WriteString(rw, "id: 1\n\n")
	rw.(http.Flusher).Flush()
	<-r.Context().Done()
}

// Guards against requests that were read whole and end without a response, or within it, while nothing
// tells why.
func TestEndsOfRequestsThatWereReadWholeAreCounted(t *testing.T) {
	for name, one := range map[string]struct {
		upstream  http.HandlerFunc
		path      string
		deadline  string
		end       func(env *testEnv, leave context.CancelFunc)
		want      readEnding
		cutBehind int64
	}{
		"answered":        {respondWith("hello"), "/safe/", "", nil, readAnswered, 0},
		"caller leaves":   {streamUntilLeft, "/stream/", "", func(_ *testEnv, leave context.CancelFunc) { leave() }, readCallerLeft, 1},
		"upstream breaks": {respondRaw("HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n"), "/stream/", "", nil, readUpstreamBroken, 1},
		"deadline":        {streamUntilLeft, "/stream/", "50", nil, readDeadline, 1},
		"router stops": {streamUntilLeft, "/stream/", "", func(env *testEnv, _ context.CancelFunc) {
			env.gateway.Stop()
			env.server.CloseClientConnections()
		}, readRouterStopped, 1},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(one.upstream)
			env.gateway.Drain(time.Now().Add(time.Minute))
			ctx, leave := cancelableContext(t)
			req := env.newRequest(one.path, "X-Deadline", one.deadline).WithContext(ctx)
			resp, err := env.client.Do(req)
			require.NoError(t, err)
			if one.end != nil {
				one.end(env, leave)
			}
			_, _ = io.Copy(io.Discard, resp.Body) // it may break off
			resp.Body.Close()
			env.waitIdle()
			got := env.gateway.DrainSummary()
			require.EqualValues(t, 1, got[readEndingNames[one.want]], "%v", got)
			require.EqualValues(t, 1, got["read"], "%v", got)
			require.EqualValues(t, one.cutBehind, got["cut_after_sent"], "%v", got)
		})
	}
}

// Guards against a call that lasts longer than a draining router: its caller got a closed connection in
// place of an answer.
func TestCallsThatOutlastARouterAreAnswered(t *testing.T) {
	env := newTestEnv(t)
	began := make(chan struct{})
	env.startUpstreams(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	})
	env.gateway.Drain(time.Now().Add(time.Minute))
	env.gateway.RefuseLateRequests()
	go func() {
		<-began
		env.gateway.EndRequests()
	}()
	status, _, _ := env.get("/once/")
	require.Equal(t, http.StatusGatewayTimeout, status)
	status, _, header := env.get("/once/")
	require.Equal(t, http.StatusServiceUnavailable, status, "nothing is sent any more")
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Equal(t, 1, env.upstreamRequests())
}

// Guards against a request whose header arrives before a draining router refuses any, and whose body is
// complete as the router ends: it was sent to an upstream and cut at once.
func TestRequestsThatAreCompleteTooLateAreRefused(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("hello"))
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: request-1\r\nX-Key: k\r\nContent-Length: 4\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return env.gateway.Active() == 1 }, 10*time.Second, time.Millisecond)
	env.gateway.Drain(time.Now().Add(usualMaxCallTime / 2))
	env.gateway.RefuseLateRequests()
	_, err = io.WriteString(c, "body")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, env.upstreamRequests())
}

// Guards against a stream that a draining router accepts and cuts, as its engine takes twice as long for a
// token as usual.
func TestStreamsThatMayOutlastARouterAreRefused(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith(events(1, 1)))
	env.gateway.Drain(time.Now().Add(1300 * time.Millisecond)) // its objective, and 30 ms for each of ten tokens
	env.gateway.RefuseLateRequests()
	status, _, _ := env.get("/stream/", "X-Tokens", "1000")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Zero(t, env.upstreamRequests())
}

// Guards against a stream without a prompt that a draining router accepts and cuts: nothing tells how long it lasts.
func TestStreamsOfUnknownLengthThatMayOutlastARouterAreRefused(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith(events(1, 1)))
	env.gateway.Drain(time.Now().Add(4 * time.Second)) // less than the route's timeout
	env.gateway.RefuseLateRequests()
	for _, path := range []string{"/stream/", "/resume/"} {
		status, _, header := env.get(path)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, header.Get("Retry-After"))
	}
	require.Zero(t, env.upstreamRequests())
	status, body, _ := env.get("/stream/", "X-Deadline", "1500")
	require.Equal(t, http.StatusOK, status, "it ends before the router in any case")
	require.Equal(t, events(1, 1), body)
}

// Guards against calls of a route that takes longer than is left: they were passed on, answered with 504 or cut in
// their answer as the router ended, and may not be repeated.
func TestCallsOfASlowRouteThatMayOutlastARouterAreRefused(t *testing.T) {
	const lasts = 700 * time.Millisecond
	for name, slow := range map[string]http.HandlerFunc{
		"late head": func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(lasts)
			io.WriteString(rw, "hello")
		},
		"late body": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Write(make([]byte, 2*maxBufferedResponse))
			http.NewResponseController(rw).Flush()
			time.Sleep(lasts)
			rw.Write(make([]byte, 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(slow)
			status, _, _ := env.get("/once/")
			require.Equal(t, http.StatusOK, status)
			env.gateway.Drain(time.Now().Add(lasts))
			env.gateway.RefuseLateRequests()
			status, _, header := env.get("/once/")
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.NotEmpty(t, header.Get("Retry-After"))
			require.Equal(t, 1, env.upstreamRequests())
		})
	}
}

// Guards against refusing a call whose deadline ends it before the router does.
func TestCallsThatEndBeforeALeavingRouterAreServed(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("hello"))
	env.gateway.answerTimes.Observe("once", time.Minute, time.Now())
	env.gateway.Drain(time.Now().Add(30 * time.Second))
	env.gateway.RefuseLateRequests()
	status, _, _ := env.get("/once/") // its route's timeout is 5 s
	require.Equal(t, http.StatusOK, status)
}

// Guards against a request that arrives just as a draining router has none left: it was sent to an
// upstream, and its connection was closed.
func TestNothingIsSentWhileConnectionsAreClosed(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("hello"))
	env.gateway.Drain(time.Now().Add(time.Minute))
	env.gateway.RefuseLateRequests()
	env.gateway.RefuseRequests()
	status, _, header := env.get("/safe/")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, env.upstreamRequests())
}
