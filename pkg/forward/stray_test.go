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

// An upstream answers a request twice, the second time late: the second answer arrives
// just where the answer to the next request is due. Taken for it, one caller would get
// what another one asked for.
func TestDoSkipsAnswersToOtherRequests(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, reply("one", "first"))
		readRequest(r)
		io.WriteString(c, reply("one", "again")+reply("two", "second"))
		readRequest(r)
	})
	ps := NewPools(idHeader)
	a, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "first", body(t, a))
	a, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "second", body(t, a))
}

// An upstream sends bytes after a complete answer, before the next request goes out.
func TestDoLeavesConnectionsWithStrayBytes(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, reply("one", "first")+"garbage")
		readRequest(r)
	}, echo)
	ps := NewPools(idHeader)
	a, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "first", body(t, a))
	a, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
}

func TestDoRefusesAnswersOfOthersOnFreshConnections(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, reply("other", "x"))
	})
	_, err := do(t, NewPools(idHeader), get(in, "one"))
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.True(t, failed.Sent)
}

// Guards against bytes inside a stray answer that are taken for the answer that is due.
func TestDoReadsNoAnswerInsideAStrayOne(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, reply("one", "ok"))
		readRequest(r)
		inside := strings.Repeat("x", maxStrayBody) + reply("two", "no")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: %d\r\n\r\n%s", len(inside), inside)
		readRequest(r)
	})
	ps := NewPools(idHeader)
	a, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
	_, err = do(t, ps, get(in, "two"))
	require.Error(t, err)
}
