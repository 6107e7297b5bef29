package gatewayd

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A caller's host is cut off while its request is on its way. Without probes its connection
// would stay open until a timeout of the server's own.
func TestAcceptedConnectionsAreProbed(t *testing.T) {
	l, err := listen("127.0.0.1:0")
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
}

// Guards against thousands of callers that the kernel takes on while nobody reads what they send.
func TestConnectionsBeyondTheBacklogAreNotTaken(t *testing.T) {
	const backlog, callers = 4, 40
	for _, addr := range []string{"127.0.0.1:0", "[::1]:0"} {
		l, err := listenBacklog(addr, backlog)
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
		_, err := listenBacklog(addr, 4)
		require.Error(t, err, addr)
	}
}
