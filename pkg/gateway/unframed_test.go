package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// rawUpstream is an upstream that answers each request with text as it is, then ends.
type rawUpstream struct {
	net.Listener
	text string
	// dies has it stop listening before it closes the connection of an answer.
	dies bool
	// connections counts those that were taken.
	connections atomic.Int64
}

func (w *world) rawUpstream(text string, dies bool) *rawUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	w.t.Cleanup(func() { l.Close() })
	u := &rawUpstream{Listener: l, text: text, dies: dies}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			go u.serve(c)
		}
	}()
	return u
}

func (u *rawUpstream) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	io.WriteString(c, u.text)
	if u.dies {
		u.Close()
	}
}

// first puts u in place of the first upstream.
func (w *world) first(u *rawUpstream, state upstream.State) {
	w.list[0].Addr, w.list[0].State = u.Addr().String(), upstream.Ready
	w.gateway.pools.Follow(upstream.NewSet(w.list), time.Now())
	w.catalog.Replace(w.list, 2, time.Now(), "test")
	if state != upstream.Ready {
		told := append([]upstream.Instance(nil), w.list...)
		told[0].State = state
		w.gateway.pools.Follow(upstream.NewSet(told), time.Now())
	}
}

// Guards against answers without framing that reach callers as complete though their upstream died.
func TestAnswersThatEndWithTheirUpstreamArentComplete(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\n\r\n"
	for name, c := range map[string]struct {
		path, text, body string
		status           int
	}{
		"safe":   {path: "/safe/", text: plain + "hel", status: 200, body: "hello"},
		"unsafe": {path: "/once/", text: plain + "hel", status: 502, body: errUpstream().Message + "\n"},
		"stream": {path: "/resume/", text: cutHead + "\r\n" + shortEvents(1, 2, "\n"), status: 200, body: shortEvents(1, 3, "\n")},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(nil, func(rw http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/resume/") {
					io.WriteString(rw, shortEvents(3, 3, "\n"))
					return
				}
				io.WriteString(rw, "hello")
			})
			w.first(w.rawUpstream(c.text, true), upstream.Ready)
			status, body, _ := w.get(c.path)
			require.Equal(t, c.status, status)
			require.Equal(t, c.body, body)
		})
	}
	for name, text := range map[string]string{
		"/stream/": cutHead + "\r\n" + shortEvents(1, 2, "\n"),
		"/safe/":   plain + strings.Repeat("x", 2*wholeLimit),
	} {
		t.Run("cut "+name, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(nil)
			w.first(w.rawUpstream(text, true), upstream.Ready)
			resp, err := w.client.Do(w.request(name))
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

// Guards against whole answers without framing that are broken off.
func TestAnswersWithoutFramingAreServed(t *testing.T) {
	for path, text := range map[string]string{
		"/once/": "hello", "/safe/": strings.Repeat("x", 2*wholeLimit),
		"/stream/": shortEvents(1, 3, "\n"), "/resume/": shortEvents(1, 3, "\n"),
	} {
		t.Run(path, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(nil)
			u := w.rawUpstream(cutHead+"\r\n"+text, false)
			w.first(u, upstream.Ready)
			for range 5 {
				status, body, _ := w.get(path)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, text, body)
			}
			require.Eventually(t, func() bool { return u.connections.Load() == 6 }, 10*time.Second, time.Millisecond,
				"the connection that confirms an answer serves the next request")
		})
	}
}

// Guards against last answers of an upstream that leaves, and listens no more, taken for broken ones.
func TestUpstreamsThatLeaveEndTheirLastAnswers(t *testing.T) {
	w := newWorld(t)
	w.upstreams(nil)
	w.first(w.rawUpstream(cutHead+"\r\n"+shortEvents(1, 3, "\n"), true), upstream.Draining)
	status, body, _ := w.get("/stream/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, shortEvents(1, 3, "\n"), body)
}

// Guards against streams that reach callers as complete and empty, as their upstream closed before the
// first event.
func TestStreamsThatNeverBeganArentComplete(t *testing.T) {
	w := newWorld(t)
	w.upstreams(nil, says(shortEvents(1, 3, "\n")))
	w.first(w.rawUpstream(cutHead+"\r\n", false), upstream.Ready)
	status, _, _ := w.get("/stream/")
	require.Equal(t, http.StatusBadGateway, status)
	w.forgive()
	status, body, _ := w.get("/resume/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, shortEvents(1, 3, "\n"), body)
	w.forgive()
	status, body, _ = w.get("/resume/", "X-After", "3")
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, body, "nothing is left of a stream that its caller has whole")
}

// Guards against a connection for each upstream that says without framing that it is full.
func TestRefusalsWithoutFramingAreNotConfirmed(t *testing.T) {
	w := newWorld(t)
	w.upstreams(nil, says("hello"))
	u := w.rawUpstream("HTTP/1.1 503 Busy\r\nX-Id: request-1\r\nX-Not-Run: 1\r\n\r\nfull", false)
	w.first(u, upstream.Ready)
	status, body, _ := w.get("/safe/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "hello", body)
	require.EqualValues(t, 1, u.connections.Load())
}
