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

// askOld sends a request of HTTP/1.0 and gives all that comes until the connection ends.
func (w *world) askOld(path string) (answer string, end error) {
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	require.NoError(w.t, err)
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: h\r\nX-Id: request-1\r\nX-Key: k\r\n\r\n", path)
	data, err := io.ReadAll(c)
	return string(data), err
}

// Guards against a stream that was broken off and looks complete to a caller of HTTP/1.0, whose
// answer ends with its connection.
func TestCallersOfHTTP10SeeACut(t *testing.T) {
	w := newWorld(t)
	w.upstreams(breaks(fmt.Sprintf(streamHead, "a") + chunk(events(1, 2))))
	answer, end := w.askOld("/stream/")
	require.Contains(t, answer, events(1, 2))
	require.ErrorIs(t, end, syscall.ECONNRESET)
}

func TestCallersOfHTTP10GetWholeStreams(t *testing.T) {
	w := newWorld(t)
	w.upstreams(says(events(1, 2)))
	answer, end := w.askOld("/stream/")
	require.NoError(t, end)
	require.True(t, strings.HasSuffix(answer, "\r\n\r\n"+events(1, 2)))
}

// Guards against a plain answer without a length: to a caller of HTTP/1.0 it would look complete
// wherever its router ends.
func TestPlainAnswersHaveALength(t *testing.T) {
	text := strings.Repeat("x", 5000)
	for framed, framing := range framings {
		t.Run(framed, func(t *testing.T) {
			w := newWorld(t)
			w.upstreams(breaks(framing(text)))
			answer, end := w.askOld("/safe/")
			require.NoError(t, end)
			require.Contains(t, answer, "\r\nContent-Length: 5000\r\n")
			require.True(t, strings.HasSuffix(answer, "\r\n\r\n"+text))
		})
	}
}

// Guards against a length of our own where an answer has no body.
func TestAnswersWithoutABodyStayAsTheyAre(t *testing.T) {
	w := newWorld(t)
	w.upstreams(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusNoContent) })
	answer, end := w.askOld("/safe/")
	require.NoError(t, end)
	require.NotContains(t, answer, "Content-Length")
}
