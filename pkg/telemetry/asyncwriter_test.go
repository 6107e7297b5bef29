package telemetry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Nobody reads the daemon's standard output any more. Requests must not wait for it.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	r, pipe := io.Pipe()
	w := NewAsyncWriter(pipe)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	line := []byte("line\n")
	// The writer may take a buffer of lines off the queue before the reader holds it up.
	taken := writeBuffer/len(line) + 1
	for range 3*queuedLines + taken {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.GreaterOrEqual(t, w.Dropped(), int64(2*queuedLines))
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

// A flood of refusals, each with its line. One write a line would cost as much processor as
// refusing does.
func TestAsyncWriterWritesLinesThatComeTogetherAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(chunks)
		w := NewAsyncWriter(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		w.Write([]byte("line\n"))
		time.Sleep(writePause / 20) // so that no line comes at the very end of a pause
		for range 19 {
			w.Write([]byte("line\n"))
			time.Sleep(writePause / 10)
		}
		cancel()
		<-done
		require.Equal(t, []string{"line\n", strings.Repeat("line\n", 10), strings.Repeat("line\n", 9)}, out.writes)
	})
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
