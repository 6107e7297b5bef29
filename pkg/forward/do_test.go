package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

func echo(c net.Conn, r *bufio.Reader) {
	for {
		req := readRequest(r)
		if req == nil {
			return
		}
		io.WriteString(c, reply(req.Header.Get(idHeader), "ok"))
	}
}

func body(t *testing.T, a *Answer) string {
	data, err := io.ReadAll(a)
	require.NoError(t, err)
	a.Close()
	return string(data)
}

func TestDoKeepsConnections(t *testing.T) {
	dials := 0
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) { dials++; echo(c, r) })
	ps := NewPools(idHeader)
	for _, id := range []string{"one", "two", "three"} {
		a, err := do(t, ps, get(in, id))
		require.NoError(t, err)
		require.Equal(t, "ok", body(t, a))
	}
	require.Equal(t, 1, dials)
}

// The upstream closes a kept connection while it is idle. A request sent on it would be
// lost, and whether it has run could not be told.
func TestDoDoesNotUseConnectionsThatWereClosed(t *testing.T) {
	closed := make(chan struct{})
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, reply("one", "first"))
		c.Close()
		close(closed)
	}, echo)
	ps := NewPools(idHeader)
	a, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "first", body(t, a))
	<-closed
	a, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
}

func TestDoTellsWhetherARequestWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	_, err = do(t, NewPools(idHeader), get(&upstream.Instance{ID: "gone", Addr: addr}, "one"))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Sent)

	in := fakeUpstream(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	_, err = do(t, NewPools(idHeader), get(in, "one"))
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Sent, "it may have run")
}

// Bodies around the sizes at which they are sent in another way arrive whole, also when the
// upstream takes long to read them, and their connection is kept.
func TestDoSendsBodiesOfAllSizes(t *testing.T) {
	for _, size := range []int{1, inlineBody, inlineBody + 1, JoinedBody, JoinedBody + 1, 4 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			sent := strings.Repeat("0123456789abcdef", size/16+1)[:size]
			var got [2]string
			in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
				for i, id := range []string{"one", "two"} {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
					data, _ := io.ReadAll(req.Body)
					got[i] = string(data)
					io.WriteString(c, reply(id, "ok"))
				}
			})
			ps := NewPools(idHeader)
			for _, id := range []string{"one", "two"} {
				call := get(in, id)
				call.Method, call.Body = http.MethodPost, []byte(sent)
				a, err := do(t, ps, call)
				require.NoError(t, err)
				require.Equal(t, "ok", body(t, a))
			}
			require.Equal(t, sent, got[0])
			require.Equal(t, sent, got[1])
		})
	}
}

// The socket's buffer is full to the brim. What it doesn't take is written when there is room.
func TestDoSendsWhatTheSocketDidNotTake(t *testing.T) {
	sent := strings.Repeat("0123456789abcdef", JoinedBody/16)
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(1)
		time.Sleep(20 * time.Millisecond)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		data, _ := io.ReadAll(req.Body)
		io.WriteString(c, reply("one", strconv.FormatBool(string(data) == sent)))
	})
	ps := NewPools(idHeader)
	p := ps.of(in)
	cn, err := p.take(t.Context(), time.Now())
	require.NoError(t, err)
	require.NoError(t, cn.Conn.(*net.TCPConn).SetWriteBuffer(1)) // the kernel's least
	cn.until = time.Now().Add(time.Minute)
	p.put(cn)
	call := get(in, "one")
	call.Method, call.Body = http.MethodPost, []byte(sent)
	a, err := do(t, ps, call)
	require.NoError(t, err)
	require.NotNil(t, a.written)
	require.Equal(t, "true", body(t, a))
}

// A request's body is in memory that serves another request as soon as Do has returned. What
// the upstream reads only then must be this request's all the same.
func TestDoLeavesTheBodyAlone(t *testing.T) {
	sent := strings.Repeat("0123456789abcdef", JoinedBody/16)
	overwritten := make(chan struct{})
	got := make(chan bool, 1)
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, reply("one", "ok")) // an early answer
		<-overwritten
		data, _ := io.ReadAll(req.Body)
		got <- string(data) == sent
	})
	ps := NewPools(idHeader)
	p := ps.of(in)
	cn, err := p.take(t.Context(), time.Now())
	require.NoError(t, err)
	require.NoError(t, cn.Conn.(*net.TCPConn).SetWriteBuffer(1)) // the kernel's least
	require.NoError(t, cn.Conn.(*net.TCPConn).SetReadBuffer(1))
	cn.until = time.Now().Add(time.Minute)
	p.put(cn)
	call := get(in, "one")
	call.Method, call.Body = http.MethodPost, []byte(sent)
	a, err := do(t, ps, call)
	require.NoError(t, err)
	clear(call.Body)
	close(overwritten)
	require.True(t, <-got)
	a.Close()
}

// An upstream rejects a long request before it has read it. The rest of the body is on its
// way; another request on that connection would be read as its end.
func TestDoDoesNotKeepConnectionsWithBodiesUnread(t *testing.T) {
	second := make(chan string, 1)
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, reply("one", "no"))
			<-second
		}
	}, echo)
	call := get(in, "one")
	call.Method, call.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	ps := NewPools(idHeader)
	a, err := do(t, ps, call)
	require.NoError(t, err)
	require.Equal(t, "no", body(t, a))
	a, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
	close(second)
}

func TestAnswerWithoutLengthIsCompleteOnlyWhenClosedInOrder(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\nall"
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, head)
	})
	a, err := do(t, NewPools(idHeader), get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "all", body(t, a))

	reset := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, head)
		c.(*net.TCPConn).SetLinger(0)
	})
	a, err = do(t, NewPools(idHeader), get(reset, "one"))
	if err == nil {
		_, err = io.ReadAll(a)
		a.Close()
	}
	require.Error(t, err)
}

func TestAnswerCutShortIsAnError(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 10\r\n\r\nshort")
	})
	a, err := do(t, NewPools(idHeader), get(in, "one"))
	require.NoError(t, err)
	_, err = io.ReadAll(a)
	require.Error(t, err)
	a.Close()
}

// A caller leaves. Its engine must notice, or it works on for nobody: the connection is
// closed, though no answer has come yet.
func TestDoEndsWithItsContext(t *testing.T) {
	ended, began := make(chan struct{}), make(chan struct{})
	in := fakeUpstream(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(began)
		r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	_, err := NewPools(idHeader).Do(ctx, get(in, "one"))
	require.Error(t, err)
	<-ended
}
