package telemetry

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Nobody reads the daemon's standard output any more. Requests must not wait for it.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	r, pipe := io.Pipe()
	w := NewAsyncWriter(pipe)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	for range 3 * queuedLines {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Greater(t, w.Dropped(), int64(queuedLines/2))
	cancel()
	r.Close()
	<-done
}

func TestAsyncWriterWritesWhatIsQueuedAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	line := []byte("one\n")
	w.Write(line)
	copy(line, "xxx\n")
	w.Write([]byte("two\n"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	require.Equal(t, "one\ntwo\n", out.String())
}
