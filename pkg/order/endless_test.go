package order

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an engine's state without end, in its head or body, which would fill the router's memory.
func TestStatesWithoutEndAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ start, failure string }{
		"head": {"HTTP/1.1 200 OK\r\nX-Fill: ", "exceeded 65536 bytes"},
		"body": {"HTTP/1.1 200 OK\r\n\r\n{\"model\":\"", "unexpected EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				// Bytes before the request would be unsolicited, whatever they are.
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				data := []byte(strings.Repeat("f", 8<<10))
				for _, err = io.WriteString(conn, c.start); err == nil; {
					_, err = conn.Write(data)
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err = NewHTTPEngine().State(ctx, "http://"+l.Addr().String())
			require.ErrorContains(t, err, c.failure)
			require.NoError(t, ctx.Err(), "ended by the deadline")
		})
	}
}
