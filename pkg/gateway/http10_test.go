package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// getHTTP10 sends an HTTP/1.0 request and returns everything up to the connection's end.
func (env *testEnv) getHTTP10(path string) (response string, readErr error) {
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	require.NoError(env.t, err)
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: h\r\nX-Id: request-1\r\nX-Proof: ran\r\nX-Key: k\r\n\r\n", path)
	data, err := io.ReadAll(c)
	return string(data), err
}

// Guards against a truncated stream that looks complete to an HTTP/1.0 caller, for which the response
// ends with its connection.
func TestCallersOfHTTP10DetectATruncatedStream(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondRaw(fmt.Sprintf(chunkedStreamHead, "a") + chunk(events(1, 2))))
	response, err := env.getHTTP10("/stream/")
	require.Contains(t, response, events(1, 2))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestCallersOfHTTP10GetWholeStreams(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith(events(1, 2)))
	response, err := env.getHTTP10("/stream/")
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(response, "\r\n\r\n"+events(1, 2)))
}

// Guards against a response that is not a stream and has no Content-Length: to an HTTP/1.0 caller it
// would look complete wherever the router stops.
func TestPlainAnswersHaveALength(t *testing.T) {
	text := strings.Repeat("x", 5000)
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.startUpstreams(respondRaw(framing(text)))
			response, err := env.getHTTP10("/safe/")
			require.NoError(t, err)
			require.Contains(t, response, "\r\nContent-Length: 5000\r\n")
			require.True(t, strings.HasSuffix(response, "\r\n\r\n"+text))
		})
	}
}

// Guards against adding a Content-Length to a response that has no body.
func TestAnswersWithoutABodyStayAsTheyAre(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusNoContent) })
	response, err := env.getHTTP10("/safe/")
	require.NoError(t, err)
	require.NotContains(t, response, "Content-Length")
}
