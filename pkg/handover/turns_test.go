package handover

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// manyTurns is a number of bytes that a transfer moves in several turns.
const manyTurns = 5*maxPasses*bufferSize + 1000

// startRawRouter serves each connection that was relayed with serve, and returns the address for it.
func startRawRouter(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against bytes that stay in a socket: a transfer stopped after its turn, and no event follows, since the
// sender has sent everything and is silent.
func TestInterruptedTransfersGoOnWithoutAnEvent(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789abcde\n"), manyTurns/16)
	for name, closes := range map[string]bool{"sender stays": false, "sender closes": true} {
		t.Run("down/"+name, func(t *testing.T) {
			addr := startRawRouter(t, func(c net.Conn) {
				if _, err := c.Read(make([]byte, 1)); err != nil {
					return
				}
				c.Write(data)
				if closes {
					c.Close()
				}
			})
			s := newTestRelay(t, addr)
			c := s.dial()
			io.WriteString(c, "x")
			requireData(t, c, data, closes)
		})
		t.Run("up/"+name, func(t *testing.T) {
			relayed := make(chan net.Conn, 1)
			s := newTestRelay(t, startRawRouter(t, func(c net.Conn) { relayed <- c }))
			c := s.dial()
			go func() {
				c.Write(data)
				if closes {
					c.Close()
				}
			}()
			var at net.Conn
			select {
			case at = <-relayed:
			case <-time.After(testTimeout):
				t.Fatal("the connection was not relayed")
			}
			require.NoError(t, at.SetDeadline(time.Now().Add(testTimeout)))
			requireData(t, at, data, closes)
		})
	}
}

// requireData requires that the data arrives, and the end of the connection after it if closes is set.
func requireData(t *testing.T, c net.Conn, data []byte, closes bool) {
	got := make([]byte, len(data))
	n, err := io.ReadFull(c, got)
	require.NoError(t, err, "%d bytes of %d", n, len(data))
	require.True(t, bytes.Equal(data, got))
	if closes {
		_, err = c.Read(got)
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against a sender without end that takes all of the relay's time.
func TestAnEndlessSenderLeavesTurnsToOthers(t *testing.T) {
	flowing := make(chan struct{})
	addr := startRawRouter(t, func(c net.Conn) {
		request := make([]byte, 1)
		if _, err := c.Read(request); err != nil {
			return
		}
		part := bytes.Repeat([]byte("x"), bufferSize)
		for request[0] == 'e' {
			if _, err := c.Write(part); err != nil {
				return
			}
		}
		c.Write(request)
	})
	s := newTestRelay(t, addr)
	endless := s.dial()
	io.WriteString(endless, "e")
	go func() {
		io.CopyN(io.Discard, endless, manyTurns)
		close(flowing)
		io.Copy(io.Discard, endless)
	}()
	<-flowing
	for range 10 {
		c := s.dial()
		io.WriteString(c, "o")
		requireData(t, c, []byte("o"), false)
		c.Close()
	}
}

// Guards against bytes that wait in a socket for an event that doesn't come: all of them arrived before the first
// turn, and the receiver takes them at once. A small buffer makes that several turns.
func TestBytesThatWaitedTogetherAllArrive(t *testing.T) {
	const buffer = 1000
	data := bytes.Repeat([]byte("0123456789abcde\n"), 2*maxPasses*buffer/16)
	for name, up := range map[string]bool{"up": true, "down": false} {
		t.Run(name, func(t *testing.T) {
			relayed := make(chan net.Conn, 1)
			s := newTestRelay(t, startRawRouter(t, func(c net.Conn) { relayed <- c }))
			s.relay.mu.Lock()
			s.relay.buf, s.relay.events = make([]byte, buffer), make([]unix.EpollEvent, maxEvents)
			s.relay.mu.Unlock()
			from := s.dial()
			io.WriteString(from, "x")
			var to net.Conn
			select {
			case to = <-relayed:
			case <-time.After(testTimeout):
				t.Fatal("the connection was not relayed")
			}
			require.NoError(t, to.SetDeadline(time.Now().Add(testTimeout)))
			requireData(t, to, []byte("x"), false)
			if !up {
				from, to = to, from
			}
			s.relay.mu.Lock() // no turn begins meanwhile
			_, err := from.Write(data)
			s.relay.mu.Unlock()
			require.NoError(t, err)
			requireData(t, to, data, false)
		})
	}
}
