package forward

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// A caller leaves while the connection to the upstream is made. No byte may go out, and the
// error must say so.
func TestDoSendsNothingThatIsNoLongerWanted(t *testing.T) {
	got := make(chan error, 1)
	in := fakeUpstream(t, func(_ net.Conn, r *bufio.Reader) {
		_, err := r.ReadByte()
		got <- err
	})
	c := get(in, "one")
	c.Wanted = func() bool { return false }
	_, err := do(t, NewPools(idHeader), c)
	require.ErrorIs(t, err, ErrUnwanted)
	var f *Error
	require.True(t, errors.As(err, &f))
	require.False(t, f.Sent)
	require.ErrorIs(t, <-got, io.EOF)
}

// A call is ended before its connection is made: the connection isn't used.
func TestDoUsesNoConnectionAfterAnAbort(t *testing.T) {
	in := fakeUpstream(t, echo)
	c := get(in, "one")
	c.Abort = new(Abort)
	c.Abort.Now()
	_, err := do(t, NewPools(idHeader), c)
	require.ErrorIs(t, err, ErrAborted)
}

// An answer without a length ends with its connection. Ended by us, it isn't complete.
func TestAbortedAnswersAreNotComplete(t *testing.T) {
	closed := make(chan error, 1)
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": one\r\n\r\nhalf")
		_, err := r.ReadByte()
		closed <- err
	})
	c := get(in, "one")
	c.Abort = new(Abort)
	a, err := do(t, NewPools(idHeader), c)
	require.NoError(t, err)
	_, err = io.ReadFull(a, make([]byte, len("half")))
	require.NoError(t, err)
	c.Abort.Now()
	require.ErrorIs(t, <-closed, io.EOF)
	_, err = a.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrAborted)
	a.Close()
}

// A call is ended just when its answer has been read. Its connection is shut, so another
// request must not get it.
func TestAbortedConnectionsAreNotKept(t *testing.T) {
	in := fakeUpstream(t, echo)
	ps := NewPools(idHeader)
	c := get(in, "one")
	c.Abort = new(Abort)
	a, err := do(t, ps, c)
	require.NoError(t, err)
	data, err := io.ReadAll(a)
	require.NoError(t, err)
	require.Equal(t, "ok", string(data))
	c.Abort.Now()
	a.Close()
	require.Nil(t, ps.of(in).pop())
}

// A call that went well may be ended late, when its connection serves another request.
func TestLateAbortsDontReachOtherCalls(t *testing.T) {
	in := fakeUpstream(t, echo)
	ps := NewPools(idHeader)
	c := get(in, "one")
	c.Abort = new(Abort)
	a, err := do(t, ps, c)
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
	c.Abort.Now()
	a, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, a))
}
