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

// waits bounds what a test waits for.
const waits = 20 * time.Second

// stage is a router that passes on all that comes to it, before other routers.
type stage struct {
	t       *testing.T
	relay   *Relay
	targets atomic.Pointer[[]Target]
	refused chan refusedCaller
	front   *net.TCPListener
}

// refusedCaller is a caller that no router took.
type refusedCaller struct{ unread, open bool }

func newStage(t *testing.T, addrs ...string) *stage {
	s := &stage{t: t, refused: make(chan refusedCaller, 64)}
	s.sendTo(addrs...)
	var err error
	s.relay, err = NewRelay(0, func() []Target { return *s.targets.Load() }, func(fd int) {
		waiting, open := hasBytes(fd)
		_ = unix.Close(fd)
		s.refused <- refusedCaller{unread: waiting, open: open}
	})
	require.NoError(t, err)
	t.Cleanup(s.relay.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.front = l.(*net.TCPListener)
	t.Cleanup(func() { l.Close() })
	go s.accept()
	return s
}

func (s *stage) sendTo(addrs ...string) {
	list := make([]Target, 0, len(addrs))
	for _, addr := range addrs {
		list = append(list, Target{Addr: addr})
	}
	s.targets.Store(&list)
}

// accept passes connections on, and closes those that aren't taken.
func (s *stage) accept() {
	for {
		c, err := s.front.AcceptTCP()
		if err != nil {
			return
		}
		fd := -1
		if raw, err := c.SyscallConn(); err == nil {
			_ = raw.Control(func(of uintptr) { fd, _ = unix.FcntlInt(of, unix.F_DUPFD_CLOEXEC, 0) })
		}
		c.Close()
		if fd >= 0 && !s.relay.Take(fd, time.Now()) {
			_ = unix.Close(fd)
		}
	}
}

func (s *stage) dial() net.Conn {
	c, err := net.Dial("tcp", s.front.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(waits)))
	return c
}

// ended waits until nothing is passed on any more.
func (s *stage) ended() {
	require.Eventually(s.t, func() bool { return s.relay.Open() == 0 }, waits, time.Millisecond)
}

// dead is an address at which nobody listens.
func dead(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func router(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}
