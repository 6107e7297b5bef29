package telemetry

import (
	"bufio"
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

// chunks keeps what each write brought.
type chunks struct{ writes []string }

func (c *chunks) Write(b []byte) (int, error) {
	c.writes = append(c.writes, string(b))
	return len(b), nil
}

// The process is killed between two writes. A line that was cut in two by the buffer's
// size would be lost to whoever reads the log line by line.
func TestAsyncWriterWritesWholeLines(t *testing.T) {
	out := new(chunks)
	w := NewAsyncWriter(out)
	line := append(bytes.Repeat([]byte("x"), 999), '\n')
	for range 100 {
		w.Write(line)
	}
	b := bufio.NewWriterSize(out, writeBuffer)
	require.NoError(t, w.gather(b, <-w.lines))
	require.Greater(t, len(out.writes), 1)
	for _, chunk := range out.writes {
		require.Zero(t, len(chunk)%len(line))
	}
}
