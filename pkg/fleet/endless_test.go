package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
	r.fleet.buffers.SetLimit(100 << 10)
	body := new(endlessReader)
	w := httptest.NewRecorder()
	r.fleet.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, body))
	require.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
	require.Less(t, body.read, int64(200<<10))
}
