package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// Guards against framing without end in a body, which isn't data and so reaches none of the bounds on data.
func TestFramingWithoutEndBreaksTheBody(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, part string }{
		"chunk extension":   {start + "1;", strings.Repeat("e", 100)},
		"chunk extensions":  {start, "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
		"chunk size":        {start, strings.Repeat("0", 100)},
		"one trailer":       {start + "1\r\nx\r\n0\r\nX-Fill: ", strings.Repeat("f", 100)},
		"trailers":          {start + "1\r\nx\r\n0\r\n", "X-Fill-%d: f\r\n"},
		"chunk without end": {start + "1\r\nx", strings.Repeat("x", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			in := fakeUpstream(t, endless(c.start, c.part))
			ps := NewPools(idHeader)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			resp, err := ps.Do(ctx, get(in, "one"))
			require.NoError(t, err)
			defer resp.Close()
			_, err = io.Copy(io.Discard, resp)
			var failed *Error
			require.True(t, errors.As(err, &failed), "looks complete")
			require.NoError(t, ctx.Err(), "ended by the deadline")
			require.Less(t, ps.Traffic().Received, int64(256<<10))
		})
	}
}

// Guards against a response to another request without end, on a kept connection, that is read until the deadline
// or taken for the expected one.
func TestStrayResponsesWithoutEndAreBounded(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n"
	for name, c := range map[string]struct{ start, part, failure string }{
		"body":      {stray + "Content-Length: 1000000000\r\n\r\n", strings.Repeat("x", 100), "response to another request exceeds 1048576 bytes"},
		"chunks":    {stray + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "response to another request exceeds 1048576 bytes"},
		"head":      {stray + "X-Fill: ", strings.Repeat("f", 100), "response head exceeds 65536 bytes"},
		"responses": {"", stray + "Content-Length: 2\r\n\r\nno", "more than 2 responses to other requests"},
	} {
		t.Run(name, func(t *testing.T) {
			in := fakeUpstream(t, func(conn net.Conn, r *bufio.Reader) {
				if readRequest(r) == nil {
					return
				}
				io.WriteString(conn, responseText("one", "ok"))
				if readRequest(r) == nil {
					return
				}
				sendEndless(conn, c.start, c.part)
			})
			ps := NewPools(idHeader)
			ctx, cancel := context.WithTimeout(t.Context(), 10*testTimeout)
			defer cancel()
			resp, err := ps.Do(ctx, get(in, "one"))
			require.NoError(t, err)
			require.Equal(t, "ok", body(t, resp))
			_, err = ps.Do(ctx, get(in, "two"))
			require.EqualError(t, err, "head: "+c.failure)
			require.NoError(t, ctx.Err(), "ended by the deadline")
		})
	}
}
