package forward

import (
	"io"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/traffic"
)

// interrupted calls a function before the first look at a socket.
type interrupted struct {
	syscall.RawConn
	by   func()
	seen atomic.Bool
}

func (i *interrupted) Control(f func(fd uintptr)) error {
	if !i.seen.Swap(true) {
		i.by()
	}
	return i.RawConn.Control(f)
}

// Guards against a request that still runs after it was given up in two ways at once: by its context, which closes
// its connection, and by its Abort, which shuts it down.
func TestACloseDuringAShutdownLeavesNoRequestToTheNetwork(t *testing.T) {
	in, accepted := stalledUpstream(t)
	c, err := dial(t.Context(), in.Addr, new(traffic.Meter))
	require.NoError(t, err)
	c.unanswered.Store(true)
	_, err = c.Write(make([]byte, stalledBody))
	require.NoError(t, err)
	upstream := <-accepted
	defer upstream.Close()
	c.raw = &interrupted{RawConn: c.raw, by: func() { c.Close() }}
	c.shutdown()
	require.NoError(t, upstream.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.Copy(io.Discard, upstream)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
