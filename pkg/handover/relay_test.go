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

// Guards against requests and answers that lose bytes on the way, large ones too, which no
// socket takes at once.
func TestWhatIsPassedOnStaysWhole(t *testing.T) {
	const size = 8 << 20
	addr := router(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		data, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(data) // the caller counts the bytes
	})
	s := newStage(t, addr)
	body := strings.Repeat("0123456789abcdef", size/16)
	client := &http.Client{Timeout: waits, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.front.Addr().String()+"/echo", strings.NewReader(body))
		require.NoError(t, err)
		resp, err := client.Do(req)
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		require.True(t, string(data) == body, "%d bytes of %d", len(data), len(body))
	}
	s.ended()
}

// Guards against a router that is gone just now: nothing was sent to it, so another one is tried,
// and who finds none is refused with its request unread.
func TestARouterThatIsGoneCostsNoRequest(t *testing.T) {
	addr := router(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		io.WriteString(w, "served")
	})
	s := newStage(t, dead(t))
	c := s.dial()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case one := <-s.refused:
		require.Equal(t, refusedCaller{unread: true, open: true}, one)
	case <-time.After(waits):
		t.Fatal("nobody refused it")
	}
	s.sendTo(dead(t), addr)
	for range 20 {
		c := s.dial()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	s.ended()
	require.Empty(t, s.refused)
}

// Guards against an answer that looks complete though the router that made it was lost.
func TestAnAnswerThatBreaksOffDoesNotLookComplete(t *testing.T) {
	for name, sent := range map[string]string{"before the head": "", "in the body": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345"} {
		t.Run(name, func(t *testing.T) {
			addr := router(t, func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					io.WriteString(c, sent)
					c.Close()
				}
			})
			s := newStage(t, addr)
			c := s.dial()
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			require.Error(t, err)
			s.ended()
		})
	}
}

// Guards against a reset that reaches a caller as a close, which ends an answer without framing: with
// HTTP/1.0 as if it were complete.
func TestAResetGoesOnAsAResetAndACloseAsAClose(t *testing.T) {
	const answer = "HTTP/1.0 200 OK\r\n\r\nid: 1\ndata: a\n\n"
	for name, reset := range map[string]bool{"reset": true, "close": false} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			addr := router(t, func(w http.ResponseWriter, _ *http.Request) {
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
			s := newStage(t, addr)
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
			s.ended()
		})
	}
}

// Guards against work that goes on at another router for a caller that has left.
func TestTheOtherRouterHearsOfACallerThatLeft(t *testing.T) {
	began, left := make(chan struct{}), make(chan struct{})
	addr := router(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		close(began)
		<-r.Context().Done()
		close(left)
	})
	s := newStage(t, addr)
	c := s.dial()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	c.Close()
	select {
	case <-left:
	case <-time.After(waits):
		t.Fatal("the router still works for it")
	}
	s.ended()
}

// Guards against connections without a request that other routers hold descriptors for: they are
// passed on once their request comes.
func TestAConnectionWithoutARequestIsNotPassedOnYet(t *testing.T) {
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
	s := newStage(t, server.Listener.Addr().String())
	c := s.dial()
	require.Eventually(t, func() bool { return s.relay.Open() == 1 }, waits, time.Millisecond)
	require.Zero(t, conns.Load())
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.EqualValues(t, 1, conns.Load())
	s.ended()
}

// Guards against targets that can't be: they are passed over, and what is left takes over.
func TestAddressesThatCannotBeAreRefused(t *testing.T) {
	for _, addr := range []string{"", "nobody", "127.0.0.1", "[::1]:80", "127.0.0.1:99999"} {
		_, err := sockaddr(addr)
		require.Error(t, err, addr)
	}
	s := newStage(t, "nobody")
	c := s.dial()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.Error(t, err)
}

// Guards against connections that go on to a router that stands still, and counts as alive for a
// while.
func TestARouterThatIsSilentGetsNoMore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and reads nothing
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := newStage(t, l.Addr().String())
	stuck := s.dial()
	io.WriteString(stuck, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool {
		s.relay.mu.Lock()
		defer s.relay.mu.Unlock()
		return s.relay.accounts[l.Addr().String()].silent(quietAfter, time.Now())
	}, waits, time.Millisecond)
	addr := router(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	s.sendTo(l.Addr().String(), addr)
	for range 20 {
		c := s.dial()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
	}
}

// Guards against a caller that sees a new configuration and then the one before, as its
// connections went to two routers.
func TestConnectionsNeverGoBackToAnOlderConfiguration(t *testing.T) {
	s := newStage(t)
	newer, older := Target{Addr: "127.0.0.1:1", Config: 5}, Target{Addr: "127.0.0.1:2", Config: 4}
	now := time.Now()
	s.targets.Store(&[]Target{newer, older})
	require.Len(t, s.relay.eligible("", now), 2)
	s.relay.floor = 5
	require.Equal(t, []Target{newer}, s.relay.eligible("", now))
	require.Empty(t, s.relay.eligible(newer.Addr, now))
}

// Guards against a router that is taken for silent while it answers others, or with nothing asked.
func TestARouterIsSilentOnlyWhileItOwesBytes(t *testing.T) {
	now := time.Now()
	var nobody *account
	require.False(t, nobody.silent(quietAfter, now))
	a := &account{open: 2}
	require.False(t, a.silent(quietAfter, now))
	a.moved(100, 0, now)
	a.moved(100, 0, now.Add(quietAfter))
	require.True(t, a.silent(quietAfter, now.Add(quietAfter)), "since the first bytes")
	a.moved(0, 1, now.Add(quietAfter))
	require.False(t, a.silent(quietAfter, now.Add(time.Hour)))
}

// Guards against work at another router for a caller that left before its request was passed on, as
// this router waited for the processor.
func TestARequestWhoseCallerHasLeftIsNotPassedOn(t *testing.T) {
	var requests atomic.Int64
	addr := router(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
	s := newStage(t)
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
	s.sendTo(addr)
	caller.Close()
	require.Eventually(t, func() bool { return nowait.Poll(int32(fd), unix.POLLRDHUP) != 0 }, waits, time.Millisecond)
	if s.relay.Take(fd, time.Now()) {
		s.ended()
	}
	require.Zero(t, requests.Load())
}
