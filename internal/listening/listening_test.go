package listening

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const receiveBuffer = 16 << 10

// Guards against connections that stay open until a server timeout when a caller's host becomes
// unreachable during a request.
func TestAcceptedConnectionsAreProbed(t *testing.T) {
	l, err := TCP("127.0.0.1:0", Limits{Backlog: 4, ReceiveBuffer: receiveBuffer})
	require.NoError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := func(level, name int) int {
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
		require.NoError(t, err)
		return value
	}
	require.Equal(t, 1, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	require.Equal(t, 15, option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
	require.Equal(t, 15, option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
	require.Equal(t, 9, option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
	require.Equal(t, 1, option(unix.IPPROTO_TCP, unix.TCP_NODELAY))
	// The kernel doubles the size for its own needs.
	require.Equal(t, 2*receiveBuffer, option(unix.SOL_SOCKET, unix.SO_RCVBUF))
}

// Guards against thousands of connections that the kernel accepts while the process reads none.
func TestConnectionsBeyondTheBacklogAreNotTaken(t *testing.T) {
	const backlog, callers = 4, 40
	for _, addr := range []string{"127.0.0.1:0", "[::1]:0"} {
		l, err := TCP(addr, Limits{Backlog: backlog, ReceiveBuffer: receiveBuffer})
		require.NoError(t, err)
		defer l.Close()
		taken := 0
		for range callers {
			c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
			if err != nil {
				continue
			}
			defer c.Close()
			taken++
		}
		require.LessOrEqual(t, taken, backlog+1, addr)
	}
}

func TestAListenerForCallersNeedsAnAddress(t *testing.T) {
	for _, addr := range []string{"", "127.0.0.1", "host:1", "192.0.2.1:0"} {
		_, err := TCP(addr, Limits{Backlog: 4, ReceiveBuffer: receiveBuffer})
		require.Error(t, err, addr)
	}
}
