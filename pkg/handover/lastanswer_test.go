package handover

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that is lost because the router that gave it has closed, and the caller's next bytes
// can't be passed on.
func TestAnAnswerIsPassedOnThoughItsRouterTakesNoMoreBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := newTestRelay(t, l.Addr().String())
	caller := s.dial()
	send := func(text string) {
		_, err := io.WriteString(caller, text)
		require.NoError(t, err)
	}
	send("first")
	router, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, router.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.ReadFull(router, make([]byte, len("first")))
	require.NoError(t, err)
	send("second")
	_, err = io.ReadFull(router, make([]byte, 1))
	require.NoError(t, err)
	s.relay.mu.Lock() // the relay sees all of what follows at once
	_, err = io.WriteString(router, "answer")
	require.NoError(t, err)
	router.Close() // with unread bytes, which resets the connection
	send("third")
	s.relay.mu.Unlock()
	got := make([]byte, len("answer"))
	_, err = io.ReadFull(caller, got)
	require.NoError(t, err)
	require.Equal(t, "answer", string(got))
}
