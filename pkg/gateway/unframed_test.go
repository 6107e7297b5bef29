package gateway

import (
	"bufio"
	"fmt"
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

// rawUpstream is an upstream that responds to each request with text, unchanged, and closes the connection.
type rawUpstream struct {
	net.Listener
	text string
	// stopsListening makes it stop listening before it closes the connection of a response.
	stopsListening bool
	// id, if not empty, is what it answers at lifePath, on connections that it keeps.
	id string
	// connections counts the accepted connections.
	connections atomic.Int64
}

func (env *testEnv) startRawUpstream(text string, stopsListening bool) *rawUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(env.t, err)
	env.t.Cleanup(func() { l.Close() })
	u := &rawUpstream{Listener: l, text: text, stopsListening: stopsListening}
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
	for r := bufio.NewReader(c); ; {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if u.id == "" || in.URL.Path != lifePath {
			break
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(u.id), u.id)
	}
	io.WriteString(c, u.text)
	if u.stopsListening {
		u.Close()
	}
}

// replaceFirst replaces the first upstream by u.
func (env *testEnv) replaceFirst(u *rawUpstream, state upstream.State) {
	env.instances[0].Addr, env.instances[0].State = u.Addr().String(), upstream.Ready
	env.gateway.pools.UpdateList(upstream.NewSet(env.instances), time.Now())
	env.catalog.Replace(env.instances, 2, time.Now(), "test")
	if state != upstream.Ready {
		listed := append([]upstream.Instance(nil), env.instances...)
		listed[0].State = state
		env.gateway.pools.UpdateList(upstream.NewSet(listed), time.Now())
	}
}

// Guards against relaying unframed responses as complete when their upstream crashed.
func TestAnswersThatEndWithTheirUpstreamArentComplete(t *testing.T) {
	const plainHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\n\r\n"
	for name, c := range map[string]struct {
		path, text, body string
		status           int
	}{
		"safe":   {path: "/safe/", text: plainHead + "hel", status: 200, body: "hello"},
		"unsafe": {path: "/once/", text: plainHead + "hel", status: 502, body: errUpstreamFailed().Message + "\n"},
		"stream": {path: "/resume/", text: responseHead + "\r\n" + numberedEvents(1, 2, "\n"), status: 200, body: numberedEvents(1, 3, "\n")},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(nil, func(rw http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/resume/") {
					io.WriteString(rw, numberedEvents(3, 3, "\n"))
					return
				}
				io.WriteString(rw, "hello")
			})
			env.replaceFirst(env.startRawUpstream(c.text, true), upstream.Ready)
			status, body, _ := env.get(c.path)
			require.Equal(t, c.status, status)
			require.Equal(t, c.body, body)
		})
	}
	for name, text := range map[string]string{
		"/stream/": responseHead + "\r\n" + numberedEvents(1, 2, "\n"),
		"/safe/":   plainHead + strings.Repeat("x", 2*maxBufferedResponse),
	} {
		t.Run("cut "+name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(nil)
			env.replaceFirst(env.startRawUpstream(text, true), upstream.Ready)
			resp, err := env.client.Do(env.newRequest(name))
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

// Guards against aborting unframed responses that are complete.
func TestAnswersWithoutFramingAreServed(t *testing.T) {
	for path, text := range map[string]string{
		"/once/": "hello", "/safe/": strings.Repeat("x", 2*maxBufferedResponse),
		"/stream/": numberedEvents(1, 3, "\n"), "/resume/": numberedEvents(1, 3, "\n"),
	} {
		t.Run(path, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(nil)
			u := env.startRawUpstream(responseHead+"\r\n"+text, false)
			env.replaceFirst(u, upstream.Ready)
			for range 5 {
				status, body, _ := env.get(path)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, text, body)
			}
			require.Eventually(t, func() bool { return u.connections.Load() == 6 }, 10*time.Second, time.Millisecond,
				"the connection that confirms a response serves the next request")
		})
	}
}

// leavings are the ways in which an upstream leaves: its entry says so, or is gone.
var leavings = map[string]func(env *testEnv, u *rawUpstream){
	"draining": func(env *testEnv, u *rawUpstream) { env.replaceFirst(u, upstream.Draining) },
	"unlisted": func(env *testEnv, u *rawUpstream) {
		env.replaceFirst(u, upstream.Ready)
		env.gateway.pools.UpdateList(upstream.NewSet(env.instances[1:]), time.Now())
	},
}

// Guards against relaying unframed responses as complete when the upstream that sent them was leaving and died.
func TestUpstreamsThatLeaveAndDieEndNoAnswer(t *testing.T) {
	const plainHead = "HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\n\r\n"
	for path, c := range map[string]struct {
		text, body string
		status     int
	}{
		"/safe/":   {text: plainHead + "hel", status: 200, body: "hello"},
		"/once/":   {text: plainHead + "hel", status: 502, body: errUpstreamFailed().Message + "\n"},
		"/resume/": {text: responseHead + "\r\n" + numberedEvents(1, 2, "\n"), status: 200, body: numberedEvents(1, 3, "\n")},
		"/stream/": {text: responseHead + "\r\n" + numberedEvents(1, 2, "\n"), status: 200},
	} {
		for leaving, leave := range leavings {
			t.Run(leaving+path, func(t *testing.T) {
				env := newTestEnv(t)
				env.startUpstreams(nil, func(rw http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/resume/") {
						io.WriteString(rw, numberedEvents(3, 3, "\n"))
						return
					}
					io.WriteString(rw, "hello")
				})
				leave(env, env.startRawUpstream(c.text, true))
				resp, err := env.client.Do(env.newRequest(path))
				require.NoError(t, err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				require.Equal(t, c.status, resp.StatusCode)
				require.Equal(t, c.body == "", err != nil, "only what can't be repeated or resumed is broken off: %q", body)
				if err == nil {
					require.Equal(t, c.body, string(body))
				}
			})
		}
	}
}

// Guards against breaking off the last unframed responses of an upstream that leaves: one that still listens,
// and one that no longer does but answers on a connection that is kept.
func TestUpstreamsThatLeaveEndTheirLastAnswers(t *testing.T) {
	for name, stopsListening := range map[string]bool{"listening": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnvOf(t, testDialect{asksLives: true})
			env.startUpstreams(nil)
			u := env.startRawUpstream(responseHead+"\r\n"+numberedEvents(1, 3, "\n"), stopsListening)
			u.id = "i0"
			env.replaceFirst(u, upstream.Draining)
			if stopsListening {
				in := env.catalog.Instances().Get("i0")
				require.NoError(t, env.gateway.pools.Probe(t.Context(), in))
				require.NoError(t, env.gateway.pools.Probe(t.Context(), in))
			}
			status, body, _ := env.get("/stream/")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, numberedEvents(1, 3, "\n"), body)
		})
	}
}

// Guards against relaying an unframed response as complete when its upstream died and the next process at the
// address answers, as it does at a router that stood still.
func TestTheNextProcessAtTheAddressEndsNoAnswer(t *testing.T) {
	env := newTestEnvOf(t, testDialect{asksLives: true})
	env.startUpstreams(nil, respondWith(numberedEvents(3, 3, "\n")))
	u := env.startRawUpstream(responseHead+"\r\n"+numberedEvents(1, 2, "\n"), false)
	u.id = "next"
	env.replaceFirst(u, upstream.Ready)
	status, body, _ := env.get("/resume/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, numberedEvents(1, 3, "\n"), body)
}

// Guards against relaying a stream as complete and empty when its upstream closed the connection before
// the first event.
func TestStreamsThatNeverBeganArentComplete(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(nil, respondWith(numberedEvents(1, 3, "\n")))
	env.replaceFirst(env.startRawUpstream(responseHead+"\r\n", false), upstream.Ready)
	status, _, _ := env.get("/stream/")
	require.Equal(t, http.StatusBadGateway, status)
	env.resetHealth()
	status, body, _ := env.get("/resume/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, numberedEvents(1, 3, "\n"), body)
	env.resetHealth()
	status, body, _ = env.get("/resume/", "X-After", "3")
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, body, "the caller already has the whole stream")
}

// Guards against opening a connection to confirm each unframed refusal of an upstream that is full.
func TestRefusalsWithoutFramingAreNotConfirmed(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(nil, respondWith("hello"))
	u := env.startRawUpstream("HTTP/1.1 503 Busy\r\nX-Id: request-1\r\nX-Proof: ran\r\nX-Not-Run: 1\r\n\r\nfull", false)
	env.replaceFirst(u, upstream.Ready)
	status, body, _ := env.get("/safe/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "hello", body)
	require.EqualValues(t, 1, u.connections.Load())
}
