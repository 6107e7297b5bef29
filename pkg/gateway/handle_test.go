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

func TestServesAndPassesOn(t *testing.T) {
	w := newWorld(t)
	w.upstreams(says("hello"))
	status, body, _ := w.get("/safe/a?b=c")
	require.Equal(t, 200, status)
	require.Equal(t, "hello", body)
	require.Equal(t, "/safe/a?b=c", w.seen[0].RequestURI)
	require.Equal(t, "org", w.seen[0].Header.Get("X-Org"))
	require.Empty(t, w.seen[0].Header.Get("X-Key"))
}

func TestRefusals(t *testing.T) {
	w := newWorld(t)
	w.upstreams(says("hello"))
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
			status, _, _ := w.get(c.path, "X-Key", c.key)
			require.Equal(t, c.status, status)
		})
	}
}

// A router has just started and the store is away. Whatever it refuses as unknown may be
// known to the configuration that it lacks.
func TestWithoutConfigurationNothingIsUnknown(t *testing.T) {
	w := newWorld(t)
	fresh := newWorld(t)
	fresh.gateway.catalog = fresh.catalogWithout()
	status, _, header := fresh.get("/else/")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.False(t, fresh.gateway.Ready())
	w.upstreams(says(""))
	require.True(t, w.gateway.Ready())
}

func TestSafeRequestsAreRepeated(t *testing.T) {
	for name, broken := range map[string]http.HandlerFunc{
		"failure":  fails(500),
		"no bytes": breaks(""),
		"short":    breaks("HTTP/1.1 200 OK\r\nX-Id: request-1\r\nContent-Length: 10\r\n\r\nshort"),
		"garbage":  breaks("garbage\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(broken, says("hello"))
			status, body, _ := w.get("/safe/")
			require.Equal(t, 200, status)
			require.Equal(t, "hello", body)
		})
	}
}

// A call that must run once was sent and its answer is lost. Repeated, a marking would be
// done twice; answered "not run", the caller would repeat it itself.
func TestRequestsThatRunOnceAreNotRepeated(t *testing.T) {
	for name, broken := range map[string]http.HandlerFunc{
		"no bytes": breaks(""),
		"short":    breaks("HTTP/1.1 200 OK\r\nX-Id: request-1\r\nContent-Length: 10\r\n\r\nshort"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(broken, says("hello"))
			status, _, _ := w.get("/once/")
			require.Equal(t, 502, status)
			require.Equal(t, 1, w.runs())
		})
	}
}

func TestFailuresOfUpstreamsArePassedOn(t *testing.T) {
	w := newWorld(t)
	w.upstreams(fails(500), says("hello"))
	status, _, _ := w.get("/once/")
	require.Equal(t, 500, status)
	require.Equal(t, 1, w.runs())
}

func TestWhatHasNotRunGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	full := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(503)
	}
	w.upstreams(full, says("hello"))
	status, body, _ := w.get("/once/")
	require.Equal(t, 200, status)
	require.Equal(t, "hello", body)

	w = newWorld(t)
	w.upstreams(full, full)
	status, _, header := w.get("/once/")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// The only instance of a service answers a safe call with a failure of its own, and there
// is no other to ask. The caller gets that failure, not one made up by the router.
func TestFailuresArePassedOnWhenNobodyElseIsLeft(t *testing.T) {
	w := newWorld(t)
	w.upstreams(fails(500))
	status, _, header := w.get("/safe/")
	require.Equal(t, 500, status)
	require.Equal(t, "request-1", header.Get("X-Id"))
}

// A router leaves. A call that takes milliseconds is served as long as there is time for
// it; a stream that might be cut by the end is refused while its caller can go elsewhere.
func TestLeavingRoutersServeWhatStillEnds(t *testing.T) {
	w := newWorld(t)
	w.upstreams(says(events(1, 1)))
	w.gateway.Leave(time.Now().Add(2 * time.Second))
	w.gateway.Shut()
	status, _, _ := w.get("/safe/")
	require.Equal(t, 200, status)
	status, body, _ := w.get("/stream/", "X-Tokens", "1000")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 1), body)
	w.gateway.Leave(time.Now().Add(callTime / 2))
	status, _, header := w.get("/safe/")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
}

// A request crashes each engine that begins to run it, and its caller asks again and
// again. After the third engine it is refused, with the truth that it has not run; other
// requests are served.
func TestRequestsThatCrashUpstreamsAreRefused(t *testing.T) {
	w := newWorld(t)
	crash := func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/poison" {
			breaks("")(rw, r)
			return
		}
		io.WriteString(rw, "hello")
	}
	w.upstreams(crash, crash, crash, crash, crash)
	for range CrashLimit {
		status, _, _ := w.get("/once/poison")
		require.Equal(t, 502, status)
	}
	status, _, header := w.get("/once/poison")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Equal(t, CrashLimit, w.runs())
	status, _, _ = w.get("/once/else")
	require.Equal(t, 200, status)
}

// One caller sends as much as fifty others over the connections that it once made. Kept for
// ever, they would send it all to one router.
func TestBusyConnectionsAreClosedNowAndThen(t *testing.T) {
	w := newWorld(t)
	w.upstreams(says("hello"))
	dials := 0
	w.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	for i := range 3 * mostRequests {
		status, _, _ := w.get("/safe/")
		require.Equal(t, 200, status)
		require.Equal(t, 1+i/mostRequests, dials)
	}
}

// A small host is so far behind that any request would be late. It must say at once that
// the request has not run, and let the caller go to another router.
func TestOverrunRoutersRefuse(t *testing.T) {
	w := newWorld(t)
	w.overrun = true
	w.upstreams(says("hello"))
	status, _, header := w.get("/safe/")
	require.Equal(t, 503, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, w.runs())
}

func TestRepeatsDrawOnABudget(t *testing.T) {
	w := newWorld(t)
	w.gateway.budget.Set(0, 0, 10*time.Second)
	w.upstreams(fails(500), says("hello"))
	status, _, _ := w.get("/safe/")
	require.Equal(t, 500, status)
	require.Equal(t, 1, w.runs())
}

// An engine works on a request longer than the operator lets a caller wait. The caller
// gets its final answer at that time, and the engine sees that nobody waits any more.
func TestTimeoutIsFinal(t *testing.T) {
	w := newWorld(t)
	cfg := *w.config()
	cfg.Version, cfg.Routes = 2, []routing.Route{cfg.Routes[1]}
	cfg.Routes[0].Timeout = 50 * time.Millisecond
	w.catalog.Adopt(&cfg, "test")
	dropped := make(chan struct{})
	w.upstreams(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(dropped)
	})
	status, _, _ := w.get("/once/")
	require.Equal(t, 504, status)
	<-dropped
}

func TestUpstreamsAreToldWhatIsLeft(t *testing.T) {
	w := newWorld(t)
	w.upstreams(says(""))
	w.get("/safe/", "X-Deadline", "1500")
	require.LessOrEqual(t, w.seen[0].Header.Get("X-Left"), "1500")
	require.NotEqual(t, "0", w.seen[0].Header.Get("X-Left"))
}

// A caller goes away in the middle of a stream; its engine must not work on.
func TestEnginesAreFreedWhenCallersLeave(t *testing.T) {
	w := newWorld(t)
	dropped := make(chan struct{})
	w.upstreams(func(rw http.ResponseWriter, r *http.Request) {
		io.WriteString(rw, "id: 1\n\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
		close(dropped)
	})
	resp, err := w.client.Do(w.request("/stream/"))
	require.NoError(t, err)
	resp.Body.Close()
	<-dropped
}

func TestLeaving(t *testing.T) {
	w := newWorld(t)
	w.upstreams(says("hello"))
	w.gateway.Leave(time.Now())
	require.False(t, w.gateway.Ready())
	resp, err := w.client.Do(w.request("/safe/"))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close, "the connection ends with its answer")
	w.gateway.Shut()
	status, _, _ := w.get("/safe/")
	require.Equal(t, 503, status)
	require.Equal(t, 1, w.runs())
}
