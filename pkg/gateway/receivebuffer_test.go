package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// callerRequest is a request on a connection whose receive buffer was set to size bytes.
func callerRequest(t *testing.T, size int) *request {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { caller.Close() })
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(size))
	in, err := http.NewRequestWithContext(WithConn(t.Context(), c), http.MethodPost, "/", nil)
	require.NoError(t, err)
	return &request{in: in}
}

// receiveBuffer is what was set for the request's connection.
func (r *request) receiveBuffer(t *testing.T) int {
	size := 0
	require.NoError(t, r.callerConn().raw.Control(func(fd uintptr) { size, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
	return size / 2
}

// Guards against long bodies that take a round trip for every few kilobytes, and against connections that keep the larger buffer,
// which no account holds, after their request.
func TestLongBodiesHaveAWiderReceiveBufferUntilTheyEnd(t *testing.T) {
	const usual = 16 << 10
	r := callerRequest(t, usual)
	body := &longBodyReader{from: strings.NewReader(strings.Repeat("x", wideChunks+1)), request: r}
	_, err := io.CopyN(io.Discard, body, wideChunks-1)
	require.NoError(t, err)
	require.Equal(t, usual, r.receiveBuffer(t))
	_, err = io.Copy(io.Discard, body)
	require.NoError(t, err)
	require.Equal(t, wideBuffer, r.receiveBuffer(t))
	r.restoreReceiveBuffer()
	require.Equal(t, usual, r.receiveBuffer(t))
}

// Guards against a buffer that is made smaller, and a request without a connection.
func TestOnlySmallerReceiveBuffersAreWidened(t *testing.T) {
	r := callerRequest(t, 2*wideBuffer)
	r.widenReceiveBuffer()
	r.restoreReceiveBuffer()
	require.Equal(t, 2*wideBuffer, r.receiveBuffer(t))
	in, err := http.NewRequest(http.MethodPost, "/", nil)
	require.NoError(t, err)
	r = &request{in: in}
	r.widenReceiveBuffer()
	r.restoreReceiveBuffer()
}
