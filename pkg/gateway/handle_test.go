package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
)

func TestRequestsAreForwarded(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("hello"))
	status, body, _ := env.get("/safe/a?b=c")
	require.Equal(t, 200, status)
	require.Equal(t, "hello", body)
	require.Equal(t, "/safe/a?b=c", env.received[0].RequestURI)
	require.Equal(t, "org", env.received[0].Header.Get("X-Org"))
	require.Empty(t, env.received[0].Header.Get("X-Key"))
}

func TestRefusals(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("hello"))
	for _, c := range []struct {
		name, path, key string
		status          int
	}{
		{"no route", "/else/", "k", 404},
		{"no slash", "/safe", "k", 404},
		{"unknown key", "/safe/", "x", 401},
		{"no key", "/safe/", "", 401},
		{"public", "/public/", "", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, _, _ := env.get(c.path, "X-Key", c.key)
			require.Equal(t, c.status, status)
		})
	}
}

// Guards against a router that has just started, while the store is down, denying requests that the
// configuration it lacks may allow.
func TestARouterWithoutConfigurationDeniesNothing(t *testing.T) {
	env := newTestEnv(t)
	starting := newTestEnv(t)
	starting.gateway.catalog = starting.emptyCatalog()
	status, _, header := starting.get("/else/")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.False(t, starting.gateway.Ready())
	env.startUpstreams(respondWith(""))
	require.True(t, env.gateway.Ready())
}

func TestIdempotentRequestsAreRetried(t *testing.T) {
	for name, broken := range map[string]http.HandlerFunc{
		"failure":  respondStatus(500),
		"no bytes": respondRaw(""),
		"short":    respondRaw("HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 10\r\n\r\nshort"),
		"garbage":  respondRaw("garbage\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(broken, respondWith("hello"))
			status, body, _ := env.get("/safe/")
			require.Equal(t, 200, status)
			require.Equal(t, "hello", body)
		})
	}
}

// Guards against retrying a request that must run at most once when its response is lost: an operation
// would run twice. If the response said "not run", the caller would retry it itself.
func TestAtMostOnceRequestsAreNotRetried(t *testing.T) {
	for name, broken := range map[string]http.HandlerFunc{
		"no bytes": respondRaw(""),
		"short":    respondRaw("HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\nContent-Length: 10\r\n\r\nshort"),
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(broken, respondWith("hello"))
			status, _, _ := env.get("/once/")
			require.Equal(t, 502, status)
			require.Equal(t, 1, env.upstreamRequests())
		})
	}
}

func TestFailuresOfUpstreamsArePassedOn(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondStatus(500), respondWith("hello"))
	status, _, _ := env.get("/once/")
	require.Equal(t, 500, status)
	require.Equal(t, 1, env.upstreamRequests())
}

func TestRequestsThatDidNotRunAreRetriedElsewhere(t *testing.T) {
	env := newTestEnv(t)
	declines := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(503)
	}
	env.startUpstreams(declines, respondWith("hello"))
	status, body, _ := env.get("/once/")
	require.Equal(t, 200, status)
	require.Equal(t, "hello", body)

	env = newTestEnv(t)
	env.startUpstreams(declines, declines)
	status, _, header := env.get("/once/")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// Guards against replacing the error response of a service's only instance by one of the router's own.
func TestFailuresArePassedOnWhenNobodyElseIsLeft(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondStatus(500))
	status, _, header := env.get("/safe/")
	require.Equal(t, 500, status)
	require.Equal(t, "request-1", header.Get("X-Id"))
}

// Guards against refusing requests that still finish before shutdown, and against accepting those that
// would be aborted by it: their callers can still use another router.
func TestLeavingRoutersServeWhatStillEnds(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith(events(1, 1)))
	env.gateway.Drain(time.Now().Add(2 * time.Second))
	env.gateway.RefuseLateRequests()
	status, _, _ := env.get("/safe/")
	require.Equal(t, 200, status)
	status, body, _ := env.get("/stream/", "X-Tokens", "1000")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 1), body)
	env.gateway.Drain(time.Now().Add(usualMaxCallTime / 2))
	status, _, header := env.get("/safe/")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// Guards against a request that crashes each engine that starts to run it and is sent again and again.
// After the third engine it is refused as not run; other requests are served.
func TestRequestsThatCrashUpstreamsAreRefused(t *testing.T) {
	env := newTestEnv(t)
	u := env.startCrashing(5, hello)
	for range CrashLimit {
		status, _, _ := env.get("/once/poison", "X-Crash", "1")
		require.Equal(t, 502, status)
	}
	status, _, header := env.get("/once/poison", "X-Crash", "1")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Equal(t, CrashLimit, env.upstreamRequests())
	require.Equal(t, CrashLimit, u.count())
	status, _, _ = env.get("/once/else")
	require.Equal(t, 200, status)
}

// Guards against a caller that sends as much as fifty others over connections that it never closes, and
// so sends all of it to one router.
func TestBusyConnectionsAreClosedNowAndThen(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("hello"))
	dials := 0
	env.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	for i := range 3 * maxRequestsPerConn {
		status, _, _ := env.get("/safe/")
		require.Equal(t, 200, status)
		require.Equal(t, 1+i/maxRequestsPerConn, dials)
	}
}

// Guards against serving requests late on a host that is overloaded: they are refused at once as not
// run, so that their callers can use another router.
func TestOverloadedRoutersRefuse(t *testing.T) {
	env := newTestEnv(t)
	env.overloaded = true
	env.startUpstreams(respondWith("hello"))
	status, _, header := env.get("/safe/")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, env.upstreamRequests())
}

func TestRetriesAreLimitedByABudget(t *testing.T) {
	env := newTestEnv(t)
	env.gateway.retryBudget.Set(0, 0, 10*time.Second)
	env.startUpstreams(respondStatus(500), respondWith("hello"))
	status, _, _ := env.get("/safe/")
	require.Equal(t, 500, status)
	require.Equal(t, 1, env.upstreamRequests())
}

// Guards against an engine that works on a request for longer than the route's timeout: the caller gets
// its final response then, and the engine's request is canceled.
func TestTimeoutIsFinal(t *testing.T) {
	env := newTestEnv(t)
	cfg := *env.config()
	cfg.Version, cfg.Routes = 2, []routing.Route{cfg.Routes[1]}
	cfg.Routes[0].Timeout = 50 * time.Millisecond
	env.catalog.Adopt(&cfg, "test")
	canceled := make(chan struct{})
	env.startUpstreams(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	})
	status, _, _ := env.get("/once/")
	require.Equal(t, 504, status)
	<-canceled
}

func TestUpstreamsAreToldTheRemainingTime(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith(""))
	env.get("/safe/", "X-Deadline", "1500")
	require.LessOrEqual(t, env.received[0].Header.Get("X-Left"), "1500")
	require.NotEqual(t, "0", env.received[0].Header.Get("X-Left"))
}

// Guards against an engine that works on after its caller left in the middle of a stream.
func TestEnginesAreFreedWhenCallersLeave(t *testing.T) {
	env := newTestEnv(t)
	canceled := make(chan struct{})
	env.startUpstreams(func(rw http.ResponseWriter, r *http.Request) {
		io.WriteString(rw, "id: 1\n\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
		close(canceled)
	})
	resp, err := env.client.Do(env.newRequest("/stream/"))
	require.NoError(t, err)
	resp.Body.Close()
	<-canceled
}

func TestDrainingRouterServesUntilItTerminates(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("hello"))
	env.gateway.Drain(time.Now())
	require.False(t, env.gateway.Ready())
	resp, err := env.client.Do(env.newRequest("/safe/"))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close, "the connection is closed after the response")
	env.gateway.RefuseLateRequests()
	status, _, _ := env.get("/safe/")
	require.Equal(t, 503, status)
	require.Equal(t, 1, env.upstreamRequests())
}
