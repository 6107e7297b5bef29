package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// An upstream responds to a request twice, the second time late, so that the second response
// arrives where the response to the next request is expected. If it were taken for that one, a
// caller would get another caller's response.
func TestDoSkipsAnswersToOtherRequests(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, responseText("one", "first"))
		readRequest(r)
		io.WriteString(c, responseText("one", "again")+responseText("two", "second"))
		readRequest(r)
	})
	ps := NewPools(idHeader)
	resp, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "first", body(t, resp))
	resp, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "second", body(t, resp))
}

// An upstream sends bytes after a complete response, before the next request is sent.
func TestDoLeavesConnectionsWithStrayBytes(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, responseText("one", "first")+"garbage")
		readRequest(r)
	}, echo)
	ps := NewPools(idHeader)
	resp, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "first", body(t, resp))
	resp, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
}

func TestDoRefusesAnswersOfOthersOnFreshConnections(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, responseText("other", "x"))
	})
	_, err := do(t, NewPools(idHeader), get(in, "one"))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Sent)
}

// Guards against taking bytes inside a stray response for the expected response.
func TestDoReadsNoAnswerInsideAStrayOne(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, responseText("one", "ok"))
		readRequest(r)
		inside := strings.Repeat("x", maxStrayBody) + responseText("two", "no")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: %d\r\n\r\n%s", len(inside), inside)
		readRequest(r)
	})
	ps := NewPools(idHeader)
	resp, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
	_, err = do(t, ps, get(in, "two"))
	require.Error(t, err)
}
