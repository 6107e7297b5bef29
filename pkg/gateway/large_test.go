package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against treating an upstream as healthy that breaks off large responses.
func TestUpstreamsThatBreakLargeResponsesAreSuspended(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondRaw("HTTP/1.1 200 OK\r\nX-Id: request-1\r\nX-Proof: ran\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*maxBufferedResponse) + strings.Repeat("x", 2*maxBufferedResponse)))
	resp, err := env.client.Do(env.newRequest("/once/"))
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	_, usable := env.gateway.health.Usable(env.instances[0].Life(), time.Now())
	require.False(t, usable)
}

// Guards against suspending an upstream because a caller left in the middle of a large response.
func TestACallerThatLeavesALargeResponseSuspendsNoUpstream(t *testing.T) {
	env := newTestEnv(t)
	writeFailed := make(chan struct{})
	env.startUpstreams(func(rw http.ResponseWriter, r *http.Request) {
		defer close(writeFailed)
		for range 1000 {
			if _, err := io.WriteString(rw, strings.Repeat("x", maxBufferedResponse)); err != nil {
				return
			}
		}
	})
	resp, err := env.client.Do(env.newRequest("/once/"))
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 2*maxBufferedResponse))
	require.NoError(t, err)
	resp.Body.Close()
	<-writeFailed
	require.Eventually(t, func() bool { return env.gateway.Active() == 0 }, 10*time.Second, time.Millisecond)
	_, usable := env.gateway.health.Usable(env.instances[0].Life(), time.Now())
	require.True(t, usable)
}
