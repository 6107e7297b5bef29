package fleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// endlessPeer answers each connection with start, then part without end, and returns its address.
func endlessPeer(t *testing.T, start, part string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	data := []byte(strings.Repeat(part, 1+8<<10/len(part)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// Bytes before the request would be unsolicited, whatever they are.
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for _, err := io.WriteString(c, start); err == nil; {
					_, err = c.Write(data)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a peer's answer without end, in its head or body, which would fill the router's memory.
func TestAnswersOfPeersWithoutEndAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		start, part string
		most        int64
	}{
		"head": {"HTTP/1.1 200 OK\r\nX-Fill: ", "f", 1 << 20},
		"body": {"HTTP/1.1 200 OK\r\n\r\n", "x", 2 * maxMessageBytes},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, "a", make([]byte, secretSize))
			addr := endlessPeer(t, c.start, c.part)
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
			defer cancel()
			require.Error(t, r.exchanger.post(ctx, addr, Path, Report{}, new(Report), maxMessageBytes))
			require.NoError(t, ctx.Err(), "ended by the deadline")
			require.Less(t, r.exchanger.Traffic().Received, c.most)
			require.Zero(t, r.fleet.buffers.Used())
		})
	}
}

// endlessReader has no end.
type endlessReader struct{ read int64 }

func (r *endlessReader) Read(b []byte) (int, error) {
	r.read += int64(len(b))
	return len(b), nil
}

// Guards against messages without end from senders that aren't authenticated yet.
func TestMessagesWithoutEndAreRefused(t *testing.T) {
	r := newRouter(t, "a", make([]byte, secretSize))
	body := new(endlessReader)
	w := httptest.NewRecorder()
	r.fleet.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, body))
	require.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
	require.Less(t, body.read, int64(2*maxMessageBytes))
	require.Zero(t, r.fleet.buffers.Used())
}

// Guards against many messages at once that together fill the memory.
func TestMessagesShareTheBudget(t *testing.T) {
	r := newRouter(t, "a", make([]byte, secretSize))
	data, err := encode(Report{From: Member{Name: strings.Repeat("x", 60<<10)}}, r.fleet.Secret())
	require.NoError(t, err)
	r.fleet.buffers.SetLimit(200 << 10)
	post := func() int {
		w := httptest.NewRecorder()
		r.fleet.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(data)))
		return w.Code
	}
	other := r.fleet.buffers.Lease()
	require.True(t, other.Hold(buffers.FreeBytes+180<<10))
	require.Equal(t, http.StatusRequestEntityTooLarge, post())
	require.EqualValues(t, 180<<10, r.fleet.buffers.Used(), "only the other message is held")
	other.Release()
	require.NotEqual(t, http.StatusRequestEntityTooLarge, post())
	require.Zero(t, r.fleet.buffers.Used())
}

// Guards against a message that is buffered beyond the budget.
func TestAMessageStopsWhereTheBudgetEnds(t *testing.T) {
	r := newRouter(t, "a", make([]byte, secretSize))
	r.fleet.buffers.SetLimit(100 << 10)
	body := new(endlessReader)
	w := httptest.NewRecorder()
	r.fleet.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, body))
	require.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
	require.Less(t, body.read, int64(200<<10))
}

// connect opens a connection to the router, on which all waits are bounded.
func connect(t *testing.T, r *router) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", r.fleet.self.Peers)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(requestTimeout)))
	return c, bufio.NewReader(c)
}

// Guards against a sender that is too slow, and takes an empty answer with status 200 for that of its message.
func TestSlowMessagesAreRefused(t *testing.T) {
	r := newRouter(t, "a", make([]byte, secretSize))
	r.fleet.readTimeout = 10 * time.Millisecond
	c, answers := connect(t, r)
	_, err := io.WriteString(c, "POST "+Path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	require.NoError(t, err)
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.True(t, resp.Close)
	_, err = io.ReadAll(answers)
	require.NoError(t, err, "not closed")
	require.Zero(t, r.fleet.buffers.Used())
}

// Guards against a kept connection whose next request is cut by the deadline of the one before.
func TestTheNextMessageHasNoDeadlineOfTheLast(t *testing.T) {
	secret := make([]byte, secretSize)
	r := newRouter(t, "a", secret)
	data, err := encode(Report{}, secret)
	require.NoError(t, err)
	message := "POST " + Path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(data)) + "\r\n\r\n" + string(data)
	r.fleet.readTimeout = time.Second
	c, answers := connect(t, r)
	post := func() {
		_, err := io.WriteString(c, message)
		require.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusConflict, resp.StatusCode)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
	}
	post()
	// The connection stays silent until the deadline of its message has passed.
	require.NoError(t, c.SetReadDeadline(time.Now().Add(r.fleet.readTimeout)))
	_, err = answers.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "closed")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(requestTimeout)))
	post()
}

// deadlineRecorder records the last deadline for reading.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(to time.Time) error {
	r.deadline = to
	return nil
}

// Guards against a deadline that ends the wait for a message's answer, once the message has arrived in time.
func TestAReceivedMessageHasNoDeadline(t *testing.T) {
	r := newRouter(t, "a", make([]byte, secretSize))
	data, err := encode(Report{}, r.fleet.Secret())
	require.NoError(t, err)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), deadline: time.Now()}
	r.fleet.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(data)))
	require.Equal(t, http.StatusConflict, w.Code)
	require.Zero(t, w.deadline)
}
