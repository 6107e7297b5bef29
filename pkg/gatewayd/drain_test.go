package gatewayd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldListener accepts connections whose writes wait until release is closed.
type heldListener struct {
	net.Listener
	writing chan struct{}
	release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{Conn: c, listener: l}, err
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

func (c *heldConn) Write(b []byte) (int, error) {
	close(c.listener.writing)
	<-c.listener.release
	return c.Conn.Write(b)
}

// Guards against the last response of a router that leaves: its handler had returned, so that no request
// seemed to run, but the server had not written it when its connection was closed.
func TestTheLastResponseIsWrittenBeforeConnectionsAreClosed(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &heldListener{Listener: tcp, writing: make(chan struct{}), release: make(chan struct{})}
	e := newEndpoint(callersEndpoint, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") }))
	e.forCallers = true
	go e.server.Serve(l)
	c, err := net.Dial("tcp", tcp.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-l.writing
	time.AfterFunc(5*time.Millisecond, func() { close(l.release) })
	closeEndpoints([]*endpoint{e}, time.Now().Add(time.Minute), func() {})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "done", string(body))
}
