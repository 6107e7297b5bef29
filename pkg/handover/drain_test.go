package handover

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that a router which leaves passes on through another one, and cuts as it ends.
func TestADrainingRelayPassesOnNoFurtherRequest(t *testing.T) {
	addr := startRouter(t, func(http.ResponseWriter, *http.Request) { t.Error("the request was relayed") })
	s := newTestRelay(t, addr)
	c := s.dial()
	require.Eventually(t, func() bool { return s.relay.OpenConns() == 1 }, testTimeout, time.Millisecond)
	s.relay.Drain()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	select {
	case one := <-s.refused:
		require.Equal(t, refusedCaller{unread: true, open: true}, one)
	case <-time.After(testTimeout):
		t.Fatal("the connection was not refused")
	}
	later := s.dial()
	_, err = later.Read(make([]byte, 1))
	require.Error(t, err, "it was not taken")
	require.Zero(t, s.relay.OpenConns())
}
