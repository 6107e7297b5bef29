package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// Guards against a body within the configured maximum that its caller never sends again, as it exceeds the memory
// of one router: another may have room for it.
func TestBodiesThatExceedThisRoutersMemoryMayBeSentToAnother(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.limitBodies(1 << 20)
			env.startUpstreams(respondWith("ok"))
			status, header, _, err := env.post("/once/", longBody, chunked)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.NotEmpty(t, header.Get("Retry-After"))
			require.Zero(t, env.upstreamRequests())
		})
	}
}

// Guards against a refused body that keeps its memory from others while its caller still sends.
func TestRefusedBodiesGiveTheirMemoryBackAtOnce(t *testing.T) {
	env := newTestEnv(t)
	env.limitBodies(2 * defaultMaxBody)
	env.startUpstreams(respondWith("ok"))
	conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	size := defaultMaxBody + buffers.FreeBytes
	fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: request-1\r\nX-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, strings.Repeat("x", size))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.EqualValues(t, 1, env.gateway.Active())
	require.Zero(t, env.gateway.Bodies().Used())
}
