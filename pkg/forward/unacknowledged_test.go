package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// stalledBody is the size, in bytes, of a body that the sender's socket takes at once and the
// receiver's doesn't.
const stalledBody = 24 << 10

// stalledUpstream accepts one connection with a small receive buffer and doesn't read from it.
func stalledUpstream(t *testing.T) (in *upstream.Instance, accepted <-chan net.Conn) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			conns <- c
		}
	}()
	return &upstream.Instance{ID: "i", Addr: l.Addr().String()}, conns
}

func stalledCall(in *upstream.Instance) *Call {
	return &Call{Instance: in, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{idHeader: {"one"}}, Body: make([]byte, stalledBody), RequestID: "one"}
}

// Guards against a request that a partition holds up and that runs after it was given up.
func TestARequestThatIsGivenUpUnacknowledgedNeverArrives(t *testing.T) {
	for name, giveUp := range map[string]func(c *Call, cancel context.CancelFunc){
		"context ends":     func(_ *Call, cancel context.CancelFunc) { cancel() },
		"call is canceled": func(c *Call, _ context.CancelFunc) { c.Abort.Trigger() },
	} {
		t.Run(name, func(t *testing.T) {
			in, accepted := stalledUpstream(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := stalledCall(in)
			c.Abort = new(Abort)
			ended := make(chan error, 1)
			go func() {
				_, err := NewPools(idHeader).Do(ctx, c)
				ended <- err
			}()
			conn := <-accepted
			defer conn.Close()
			_, err := conn.Read(make([]byte, 1)) // the request is on its way
			require.NoError(t, err)
			giveUp(c, cancel)
			require.Error(t, <-ended)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err = io.Copy(io.Discard, conn)
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// Guards against a reset that takes a request away from an upstream which has received all of it.
func TestARequestThatArrivedIsReadThoughItWasGivenUp(t *testing.T) {
	arrived, givenUp, read := make(chan struct{}), make(chan struct{}), make(chan *http.Request, 1)
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := r.Peek(1); err == nil {
			close(arrived)
		}
		<-givenUp
		read <- readRequest(r)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	c := get(in, "one")
	c.Method, c.Body = http.MethodPost, make([]byte, stalledBody)
	_, err := NewPools(idHeader).Do(ctx, c)
	require.Error(t, err)
	close(givenUp)
	require.NotNil(t, <-read)
}

// Guards against a reset of an answer that has begun: what its upstream sends meanwhile would be lost to it.
func TestAnAnswerThatHasBegunEndsInOrder(t *testing.T) {
	ending := make(chan error, 1)
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, err := r.ReadByte()
		ending <- err
	})
	resp, err := do(t, NewPools(idHeader), get(in, "one"))
	require.NoError(t, err)
	resp.Discard()
	require.ErrorIs(t, <-ending, io.EOF)
}
