package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller gives up while its request waits for the router's processor. No engine must work
// for it, also when the server hasn't seen the close yet: here it never tells.
func TestNothingIsSentForCallersThatLeft(t *testing.T) {
	w := newWorld(t)
	w.upstreams(says("hello"))
	handled := make(chan struct{})
	front := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		defer close(handled)
		w.gateway.ServeHTTP(rw, r.WithContext(context.WithoutCancel(r.Context())))
	}))
	front.Config.ConnContext = WithConn
	front.Start()
	defer front.Close()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	require.NoError(t, err)
	w.gateway.overrun = func() bool {
		c.Close()
		time.Sleep(10 * time.Millisecond) // until the close has come
		return false
	}
	_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: request-1\r\nX-Key: k\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(t, err)
	<-handled
	require.Zero(t, w.runs())
}
