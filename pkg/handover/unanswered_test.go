package handover

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that a partition between two routers holds up and that runs after its caller has reset its connection.
func TestARelayedRequestThatIsGivenUpUnansweredIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	caller := newTestRelay(t, l.Addr().String()).dial()
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	router, err := l.Accept()
	require.NoError(t, err)
	defer router.Close()
	require.NoError(t, router.SetDeadline(time.Now().Add(testTimeout)))
	_, err = router.Read(make([]byte, 1<<10))
	require.NoError(t, err)
	require.NoError(t, caller.(*net.TCPConn).SetLinger(0))
	caller.Close()
	_, err = router.Read(make([]byte, 1<<10))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
