package telemetry

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

const (
	// queuedLines bounds the lines that wait for a slow reader. A line is under a kilobyte.
	queuedLines = 2048
	// writePause is the shortest time between two writes. Lines that come meanwhile share one, which
	// saves a busy log most writes and wake-ups. A process that is killed loses the lines of that
	// time at most; the queue is far larger than what comes in it.
	writePause = 20 * time.Millisecond
	// writeBuffer gathers lines that come together into one write, in bytes.
	writeBuffer = 16 << 10
)

// AsyncWriter passes lines on to a writer that may block.
//
// Guard: whoever reads a daemon's standard output may stop reading. Written to directly,
// every request would stand still at its next log line. Lines wait in a bounded queue;
// when it is full they are dropped and counted.
// A reader may also be gone. The runtime ends a process that writes to a broken pipe on
// standard output or error, so that one whose log goes there ignores SIGPIPE as well; the
// write then fails like any other.
type AsyncWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that needs Run.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	return &AsyncWriter{to: to, lines: make(chan []byte, queuedLines)}
}

// Write queues one line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes until ctx ends, then what is queued. An error of the writer ends it: there is
// nowhere left to report it, and further lines are dropped and counted.
func (w *AsyncWriter) Run(ctx context.Context) {
	out := bufio.NewWriterSize(w.to, writeBuffer)
	for {
		select {
		case line := <-w.lines:
			if w.gather(out, line) != nil {
				return
			}
			waiting.For(ctx, writePause) // when ctx ends, so does the pause
		case <-ctx.Done():
			w.rest(out)
			return
		}
	}
}

// gather writes line and whatever else is queued, then flushes.
func (w *AsyncWriter) gather(out *bufio.Writer, line []byte) error {
	for {
		if out.Available() < len(line) {
			// Whole lines only: a reader that takes what one write brought would see two halves.
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if _, err := out.Write(line); err != nil {
			return err
		}
		select {
		case line = <-w.lines:
		default:
			return out.Flush()
		}
	}
}

func (w *AsyncWriter) rest(out *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				return
			}
		default:
			_ = out.Flush() // the process ends; nobody is left to be told
			return
		}
	}
}
