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

// Guards against forwarding a request whose caller gave up while it waited for the CPU, even if the
// server hasn't detected the close yet: here it never does.
func TestNothingIsSentForCallersThatLeft(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("hello"))
	handled := make(chan struct{})
	front := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		defer close(handled)
		env.gateway.ServeHTTP(rw, r.WithContext(context.WithoutCancel(r.Context())))
	}))
	front.Config.ConnContext = WithConn
	front.Start()
	defer front.Close()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	require.NoError(t, err)
	env.gateway.overloaded = func() bool {
		c.Close()
		time.Sleep(10 * time.Millisecond) // until the close has arrived
		return false
	}
	_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: request-1\r\nX-Key: k\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(t, err)
	<-handled
	require.Zero(t, env.upstreamRequests())
}
