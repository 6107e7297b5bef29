package connlimit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// serve starts a server whose connections are limited.
func serve(t *testing.T, l Limits, h http.Handler) (*Group, string) {
	g := NewGroup(l, buffers.NewBudget(1<<20))
	s := httptest.NewUnstartedServer(h)
	s.Listener = g.Listen(s.Listener)
	Track(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	return g, s.Listener.Addr().String()
}

func get(t *testing.T, addr string) int {
	caller := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := caller.Get("http://" + addr)
	require.NoError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against clients that connect and send nothing, and whose connections keep others from being accepted.
func TestConnectionsWithoutARequestMakeRoom(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	g, addr := serve(t, Limits{Open: 3, Unfinished: 3}, ok)
	for range 6 {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
	}
	require.Equal(t, http.StatusNoContent, get(t, addr))
	require.GreaterOrEqual(t, g.Counts().Unfinished, int64(1))
}

// Guards against handlers that need no body and wait for one that never comes.
func TestRequestsWithBodiesAreAnsweredWithoutThem(t *testing.T) {
	h := WithoutBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	_, addr := serve(t, Limits{}, h)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 204"), "%s", answer)
}

// Guards against a head that is read though there is no memory for it.
func TestHeadsWithoutMemoryEndTheirConnection(t *testing.T) {
	g, addr := serve(t, Limits{}, http.NotFoundHandler())
	g.heads.SetLimit(0)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 1_000))
	require.NoError(t, err)
	answer, _ := io.ReadAll(c) // ends, in order or by a reset
	require.Empty(t, answer)
	require.EqualValues(t, 1, g.Counts().Heads)
}
