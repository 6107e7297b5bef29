package clients_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// singleWait is longer than the timeout of the route.
const singleWait = 10 * time.Second

// A bound against crowds refuses a single request that keeps every limit.
func TestASingleRequestAtTheLimitsIsServed(t *testing.T) {
	call := post(platformtest.PathCall)
	chunked := call + "Transfer-Encoding: chunked\r\n\r\n"
	for name, request := range map[string]string{
		"head of short lines": call + shortLines(maxHeader-len(call)-len("\r\n")-len("Content-Length: 0\r\n")) + "Content-Length: 0\r\n\r\n",
		"head of one line":    call + "X: " + strings.Repeat("x", maxHeader-len(call)-len("X: \r\nContent-Length: 0\r\n\r\n")) + "\r\nContent-Length: 0\r\n\r\n",
		"declared body":       call + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody) + strings.Repeat("x", maxBody),
		"one chunk":           chunked + fmt.Sprintf("%x\r\n", maxBody) + strings.Repeat("x", maxBody) + "\r\n0\r\n\r\n",
		"chunks of a byte":    chunked + strings.Repeat(tinyChunk, maxBody) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, memoryMiB := range []int{smallHost.memoryMiB, usualHost.memoryMiB} {
				g := startGateway(t, memoryMiB)
				w := g.watch(t)
				resp := g.send(t, request)
				require.Equal(t, http.StatusOK, resp.StatusCode, "%d MiB", memoryMiB)
				_, err := io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				used := w.end()
				t.Log(used)
				require.LessOrEqual(t, used.together, g.memory())
				g.requireCalm(t)
			}
		})
	}
}

// The configuration's limit of headers is decoded and not applied.
func TestAHeaderOverTheConfiguredLimitIsRefused(t *testing.T) {
	g := startGateway(t, usualHost.memoryMiB)
	g.declare(t, platformtest.Declaration{Service: service, Moved: service, Keys: map[string]string{key: org}, MaxHeader: maxHeader})
	call := post(platformtest.PathCall, "Content-Length: 0")
	request := func(size int) string { return call + shortLines(size-len(call)-len("\r\n")) + "\r\n" }
	require.Equal(t, http.StatusOK, g.send(t, request(maxHeader)).StatusCode)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, g.send(t, request(2*maxHeader)).StatusCode)
	g.requireCalm(t)
}

// send sends a whole request on a connection of its own.
func (g *gateway) send(t *testing.T, request string) *http.Response {
	conn, err := net.Dial("tcp", callers(g))
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(singleWait)))
	go func() { _, _ = io.WriteString(conn, request) }() // what isn't taken shows in the answer
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return resp
}
