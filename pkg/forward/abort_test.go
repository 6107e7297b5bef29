package forward

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// A caller leaves while the connection to the upstream is being made. No byte may be sent, and the
// error must say so.
func TestDoSendsNothingThatIsNoLongerWanted(t *testing.T) {
	got := make(chan error, 1)
	in := fakeUpstream(t, func(_ net.Conn, r *bufio.Reader) {
		_, err := r.ReadByte()
		got <- err
	})
	c := get(in, "one")
	c.StillWanted = func() bool { return false }
	_, err := do(t, NewPools(idHeader), c)
	require.ErrorIs(t, err, ErrUnwanted)
	var failed *Error
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Sent)
	require.ErrorIs(t, <-got, io.EOF)
}

// A call that is canceled before its connection is made must not use the connection.
func TestDoUsesNoConnectionAfterAnAbort(t *testing.T) {
	in := fakeUpstream(t, echo)
	c := get(in, "one")
	c.Abort = new(Abort)
	c.Abort.Trigger()
	_, err := do(t, NewPools(idHeader), c)
	require.ErrorIs(t, err, ErrAborted)
}

// The end of the connection marks the end of a response without a length. If this side ends the
// connection, the response isn't complete.
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
	resp, err := do(t, NewPools(idHeader), c)
	require.NoError(t, err)
	_, err = io.ReadFull(resp, make([]byte, len("half")))
	require.NoError(t, err)
	c.Abort.Trigger()
	require.ErrorIs(t, <-closed, io.EOF)
	_, err = resp.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrAborted)
	resp.Close()
}

// A call is canceled just after its response has been read. This shuts its connection down, so no
// other request may get it.
func TestAbortedConnectionsAreNotKept(t *testing.T) {
	in := fakeUpstream(t, echo)
	ps := NewPools(idHeader)
	c := get(in, "one")
	c.Abort = new(Abort)
	resp, err := do(t, ps, c)
	require.NoError(t, err)
	data, err := io.ReadAll(resp)
	require.NoError(t, err)
	require.Equal(t, "ok", string(data))
	c.Abort.Trigger()
	resp.Close()
	require.Nil(t, ps.poolFor(in).popIdle())
}

// A call is canceled after it has succeeded, when its connection serves another request already.
func TestLateAbortsDontReachOtherCalls(t *testing.T) {
	in := fakeUpstream(t, echo)
	ps := NewPools(idHeader)
	c := get(in, "one")
	c.Abort = new(Abort)
	resp, err := do(t, ps, c)
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
	c.Abort.Trigger()
	resp, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
}
