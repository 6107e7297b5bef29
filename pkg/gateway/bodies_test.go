package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/unread"
	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// longBody is a body of the size that configurations usually allow at most.
var longBody = bytes.Repeat([]byte("x"), defaultMaxBody)

// newPost returns a request with a body; a chunked one doesn't say how long its body is.
func (env *testEnv) newPost(path string, body []byte, chunked bool) *http.Request {
	req := env.newRequest(path)
	req.Method, req.Body, req.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(body)), int64(len(body))
	if chunked {
		req.ContentLength = -1
	}
	return req
}

// post sends a request with a body on a connection of its own.
func (env *testEnv) post(path string, body []byte, chunked bool) (status int, header http.Header, text string, err error) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(env.newPost(path, body, chunked))
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

// limitBodies bounds the bodies that are held together, and returns the function that fills the account and the
// one that empties it.
func (env *testEnv) limitBodies(limit int64) (fill, empty func()) {
	account := env.gateway.Bodies()
	account.SetLimit(limit)
	others := account.Lease()
	return func() { require.True(env.t, others.Hold(limit+buffers.FreeBytes)) }, others.Release
}

// Guards against bodies that are held together without a bound, for upstreams that read slowly: the process exceeds
// its memory and ends with all that it serves.
func TestBodiesForSlowUpstreamsStayWithinTheirMemory(t *testing.T) {
	const (
		callers = 24
		fit     = 5
	)
	env := newTestEnv(t)
	env.limitBodies(fit * defaultMaxBody)
	read := make(chan struct{})
	env.startUpstreams(func(rw http.ResponseWriter, r *http.Request) {
		<-read
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(rw, n, err)
	})
	statuses, answers := make([]int, callers), make([]string, callers)
	var held int64
	var all sync.WaitGroup
	ended := make(chan struct{}, callers)
	for i := range callers {
		all.Go(func() {
			defer func() { ended <- struct{}{} }()
			var err error
			statuses[i], _, answers[i], err = env.post("/once/", longBody, i%2 == 0)
			require.NoError(t, err)
		})
	}
	for range callers - fit {
		select {
		case <-ended: // while the upstreams read nothing
		case <-time.After(3 * time.Second):
			t.Error("a request that there is no memory for isn't refused")
		}
		held = max(held, env.gateway.Bodies().Used())
	}
	close(read)
	all.Wait()
	require.LessOrEqual(t, held, int64(fit*defaultMaxBody))
	served := 0
	for i, status := range statuses {
		if status == http.StatusOK {
			require.Equal(t, fmt.Sprint(defaultMaxBody, " <nil>"), answers[i])
			served++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Contains(t, answers[i], errBodiesFull().Message)
	}
	require.Positive(t, served)
	require.Equal(t, served, env.upstreamRequests(), "a refused request was run")
	require.Eventually(t, func() bool { return env.gateway.Active() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, env.gateway.Bodies().Used())
}

// Guards against usual requests that are refused because others hold the memory for bodies.
func TestUsualBodiesNeedNoSharedMemory(t *testing.T) {
	env := newTestEnv(t)
	fill, _ := env.limitBodies(2 * defaultMaxBody)
	fill()
	env.startUpstreams(respondWith("ok"))
	for _, chunked := range []bool{false, true} {
		status, _, text, err := env.post("/once/", longBody[:buffers.FreeBytes-1], chunked)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "ok", text)
	}
}

// Guards against a body that its caller sends slowly, and that keeps the memory from others without end.
func TestBodiesThatStopOnTheirWayGiveTheirMemoryBack(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("ok"))
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	began := time.Now()
	fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: request-1\r\nX-Key: k\r\nX-Deadline: 300\r\nContent-Length: %d\r\n\r\nxxx", defaultMaxBody)
	require.Eventually(t, func() bool { return env.gateway.Bodies().Used() > 0 }, 10*time.Second, time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.GreaterOrEqual(t, time.Since(began), 300*time.Millisecond)
	require.Eventually(t, func() bool { return env.gateway.Active() == 0 }, 10*time.Second, time.Millisecond)
	require.Zero(t, env.gateway.Bodies().Used())
	require.Zero(t, env.upstreamRequests())
}

// Guards against a refusal that is lost in a reset, as its caller is still sending the body, and against one that
// waits for the body.
func TestCallersThatAreStillSendingGetTheRefusal(t *testing.T) {
	env := newTestEnv(t)
	fill, empty := env.limitBodies(2 * defaultMaxBody)
	env.startUpstreams(respondWith("ok"))
	for _, c := range []struct {
		name, path, headers string
		body                int
		full                bool
		status              int
	}{
		{"no room", "/once/", "", defaultMaxBody, true, http.StatusServiceUnavailable},
		{"no room for a short one", "/once/", "", 100 << 10, true, http.StatusServiceUnavailable},
		{"no route", "/none/", "", defaultMaxBody, false, http.StatusNotFound},
		{"too large", "/once/", "", 2 * defaultMaxBody, false, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			empty()
			if c.full {
				fill()
			}
			conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: request-1\r\nX-Key: k\r\nContent-Length: %d\r\n\r\n", c.path, c.body)
			answer := bufio.NewReader(conn)
			_, err = answer.Peek(1)
			require.NoError(t, err, "the refusal waits for the body")
			_, err = io.Copy(conn, strings.NewReader(strings.Repeat("x", c.body)))
			require.NoError(t, err)
			resp, err := http.ReadResponse(answer, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
			require.True(t, resp.Close)
			_, err = conn.Read(make([]byte, 1))
			require.Equal(t, io.EOF, err, "reset")
		})
	}
	require.Zero(t, env.upstreamRequests())
}

// Guards against a caller that waits for its word to send the body, and gets it after the refusal.
func TestRefusalsAnswerCallersThatAskBeforeTheySend(t *testing.T) {
	env := newTestEnv(t)
	fill, _ := env.limitBodies(2 * defaultMaxBody)
	fill()
	conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(unread.Timeout/2)))
	fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: request-1\r\nX-Key: k\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", defaultMaxBody)
	data, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(data), "HTTP/1.1 503 "), "%q", data)
	require.NotContains(t, string(data), "100 Continue")
}
