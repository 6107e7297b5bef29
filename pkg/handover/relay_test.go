package handover

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
)

// Guards against requests and responses that lose bytes on the way, especially large ones, which no
// socket accepts at once.
func TestRelayedBytesAreComplete(t *testing.T) {
	const size = 8 << 20
	addr := startRouter(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		data, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(data) // the caller counts the bytes
	})
	s := newTestRelay(t, addr)
	body := strings.Repeat("0123456789abcdef", size/16)
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.listener.Addr().String()+"/echo", strings.NewReader(body))
		require.NoError(t, err)
		resp, err := client.Do(req)
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		require.True(t, string(data) == body, "%d bytes of %d", len(data), len(body))
	}
	s.waitUntilIdle()
}

// Guards against requests that are lost because a router has just become unreachable: nothing was
// sent to it, so another one is tried, and if there is none the caller is refused with its request
// unread.
func TestUnreachableRouterLosesNoRequest(t *testing.T) {
	addr := startRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		io.WriteString(w, "served")
	})
	s := newTestRelay(t, unusedAddr(t))
	c := s.dial()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case one := <-s.refused:
		require.Equal(t, refusedCaller{unread: true, open: true}, one)
	case <-time.After(testTimeout):
		t.Fatal("the connection was not refused")
	}
	s.setTargets(unusedAddr(t), addr)
	for range 20 {
		c := s.dial()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	s.waitUntilIdle()
	require.Empty(t, s.refused)
}

// Guards against a truncated response that looks complete after its router failed.
func TestTruncatedAnswerDoesNotLookComplete(t *testing.T) {
	for name, sent := range map[string]string{"before the header": "", "in the body": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345"} {
		t.Run(name, func(t *testing.T) {
			addr := startRouter(t, func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					io.WriteString(c, sent)
					c.Close()
				}
			})
			s := newTestRelay(t, addr)
			c := s.dial()
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			require.Error(t, err)
			s.waitUntilIdle()
		})
	}
}

// Guards against a reset that reaches the caller as a close, which ends a response without framing
// (HTTP/1.0) as if it were complete.
func TestResetAndCloseAreRelayedAsSuch(t *testing.T) {
	const answer = "HTTP/1.0 200 OK\r\n\r\nid: 1\ndata: a\n\n"
	for name, reset := range map[string]bool{"reset": true, "close": false} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			addr := startRouter(t, func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				io.WriteString(c, answer)
				<-read
				if reset {
					c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
			})
			s := newTestRelay(t, addr)
			c := s.dial()
			io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
			_, err := io.ReadFull(c, make([]byte, len(answer)))
			require.NoError(t, err)
			close(read)
			_, err = io.ReadAll(c)
			if reset {
				require.ErrorIs(t, err, syscall.ECONNRESET)
			} else {
				require.NoError(t, err)
			}
			s.waitUntilIdle()
		})
	}
}

// Guards against another router that goes on with a request whose caller has disconnected.
func TestCallerDisconnectReachesTheOtherRouter(t *testing.T) {
	began, left := make(chan struct{}), make(chan struct{})
	addr := startRouter(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		close(began)
		<-r.Context().Done()
		close(left)
	})
	s := newTestRelay(t, addr)
	c := s.dial()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	c.Close()
	select {
	case <-left:
	case <-time.After(testTimeout):
		t.Fatal("the request is still running at the router")
	}
	s.waitUntilIdle()
}

// Guards against idle connections that use descriptors at other routers: a connection is relayed
// only once its request arrives.
func TestConnectionIsRelayedOnlyAfterItsRequestArrives(t *testing.T) {
	var conns atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	s := newTestRelay(t, server.Listener.Addr().String())
	c := s.dial()
	require.Eventually(t, func() bool { return s.relay.OpenConns() == 1 }, testTimeout, time.Millisecond)
	require.Zero(t, conns.Load())
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.EqualValues(t, 1, conns.Load())
	s.waitUntilIdle()
}

// Guards against invalid target addresses: they are skipped, and the next target is used.
func TestInvalidAddressesAreRejected(t *testing.T) {
	for _, addr := range []string{"", "nobody", "127.0.0.1", "[::1]:80", "127.0.0.1:99999"} {
		_, err := sockaddr(addr)
		require.Error(t, err, addr)
	}
	s := newTestRelay(t, "nobody")
	c := s.dial()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.Error(t, err)
}

// Guards against connections that are relayed to a router that hangs but still counts as alive.
func TestUnresponsiveRouterGetsNoNewConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and reads nothing
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := newTestRelay(t, l.Addr().String())
	stuck := s.dial()
	io.WriteString(stuck, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool {
		s.relay.mu.Lock()
		defer s.relay.mu.Unlock()
		return s.relay.targetStates[l.Addr().String()].unresponsive(unresponsiveAfter, time.Now())
	}, testTimeout, time.Millisecond)
	addr := startRouter(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	s.setTargets(l.Addr().String(), addr)
	for range 20 {
		c := s.dial()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
	}
}

// Guards against a caller that sees a new configuration and then the previous one, because its
// connections went to two routers.
func TestRelayNeverReturnsToAnOlderConfiguration(t *testing.T) {
	s := newTestRelay(t)
	newer, older := Target{Addr: "127.0.0.1:1", Config: 5}, Target{Addr: "127.0.0.1:2", Config: 4}
	now := time.Now()
	s.targets.Store(&[]Target{newer, older})
	require.Len(t, s.relay.eligible("", now), 2)
	s.relay.minConfig = 5
	require.Equal(t, []Target{newer}, s.relay.eligible("", now))
	require.Empty(t, s.relay.eligible(newer.Addr, now))
}

// Guards against a router that is taken for unresponsive while it answers on other connections, or
// while nothing is awaited.
func TestRouterIsUnresponsiveOnlyWhileBytesAreAwaited(t *testing.T) {
	now := time.Now()
	var none *targetState
	require.False(t, none.unresponsive(unresponsiveAfter, now))
	a := &targetState{openConns: 2}
	require.False(t, a.unresponsive(unresponsiveAfter, now))
	a.recordTransfer(100, 0, now)
	a.recordTransfer(100, 0, now.Add(unresponsiveAfter))
	require.True(t, a.unresponsive(unresponsiveAfter, now.Add(unresponsiveAfter)), "counted from the first bytes")
	a.recordTransfer(0, 1, now.Add(unresponsiveAfter))
	require.False(t, a.unresponsive(unresponsiveAfter, now.Add(time.Hour)))
}

// Guards against a request that is relayed although its caller disconnected while this router
// waited for the CPU.
func TestRequestOfDisconnectedCallerIsNotRelayed(t *testing.T) {
	var requests atomic.Int64
	addr := startRouter(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
	s := newTestRelay(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c, err := l.Accept()
	require.NoError(t, err)
	file, err := c.(*net.TCPConn).File()
	require.NoError(t, err)
	fd, err := unix.FcntlInt(file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, unix.SetNonblock(fd, true))
	file.Close()
	c.Close()
	s.setTargets(addr)
	caller.Close()
	require.Eventually(t, func() bool { return nowait.Poll(int32(fd), unix.POLLRDHUP) != 0 }, testTimeout, time.Millisecond)
	if s.relay.HandOver(fd, time.Now()) {
		s.waitUntilIdle()
	}
	require.Zero(t, requests.Load())
}
