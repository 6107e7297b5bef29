package handover

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// socketPair returns two connected sockets that don't block.
func socketPair(t *testing.T) (a, b int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	require.NoError(t, err)
	t.Cleanup(func() { unix.Close(fds[0]); unix.Close(fds[1]) })
	return fds[0], fds[1]
}

// Guards against a sender without end that keeps all other connections of the relay waiting.
func TestTransfersTakeTurns(t *testing.T) {
	sender, from := socketPair(t)
	to, receiver := socketPair(t)
	data := bytes.Repeat([]byte("0123456789abcdef"), 1000)
	_, err := unix.Write(sender, data)
	require.NoError(t, err)
	buf := make([]byte, 100)
	var rest []byte
	total, turns := 0, 0
	for state := interrupted; state == interrupted; turns++ {
		var moved int
		rest, moved, state = copyAvailable(from, to, rest, buf, false)
		require.LessOrEqual(t, moved, maxPasses*len(buf))
		total += moved
	}
	require.Greater(t, turns, 1)
	require.Equal(t, len(data), total)
	got := make([]byte, len(data))
	n, err := unix.Read(receiver, got)
	require.NoError(t, err)
	require.Equal(t, data, got[:n])
}
