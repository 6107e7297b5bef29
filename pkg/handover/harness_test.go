package handover

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// testTimeout bounds all waits of a test.
const testTimeout = 20 * time.Second

// testRelay is a router that relays all its connections to other routers.
type testRelay struct {
	t        *testing.T
	relay    *Relay
	targets  atomic.Pointer[[]Target]
	refused  chan refusedCaller
	listener *net.TCPListener
}

// refusedCaller is a caller that no router accepted.
type refusedCaller struct{ unread, open bool }

func newTestRelay(t *testing.T, addrs ...string) *testRelay {
	s := &testRelay{t: t, refused: make(chan refusedCaller, 64)}
	s.setTargets(addrs...)
	var err error
	s.relay, err = NewRelay(0, func() []Target { return *s.targets.Load() }, func(fd int) {
		waiting, open := peekBytes(fd)
		_ = unix.Close(fd)
		s.refused <- refusedCaller{unread: waiting, open: open}
	})
	require.NoError(t, err)
	t.Cleanup(s.relay.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.listener = l.(*net.TCPListener)
	t.Cleanup(func() { l.Close() })
	go s.accept()
	return s
}

func (s *testRelay) setTargets(addrs ...string) {
	list := make([]Target, 0, len(addrs))
	for _, addr := range addrs {
		list = append(list, Target{Addr: addr})
	}
	s.targets.Store(&list)
}

// accept hands connections over, and closes those that aren't accepted.
func (s *testRelay) accept() {
	for {
		c, err := s.listener.AcceptTCP()
		if err != nil {
			return
		}
		fd := -1
		if raw, err := c.SyscallConn(); err == nil {
			_ = raw.Control(func(of uintptr) { fd, _ = unix.FcntlInt(of, unix.F_DUPFD_CLOEXEC, 0) })
		}
		c.Close()
		if fd >= 0 && !s.relay.HandOver(fd, time.Now()) {
			_ = unix.Close(fd)
		}
	}
}

func (s *testRelay) dial() net.Conn {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// waitUntilIdle waits until no connection is relayed any more.
func (s *testRelay) waitUntilIdle() {
	require.Eventually(s.t, func() bool { return s.relay.OpenConns() == 0 }, testTimeout, time.Millisecond)
}

// unusedAddr returns an address on which nobody listens.
func unusedAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func startRouter(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}
