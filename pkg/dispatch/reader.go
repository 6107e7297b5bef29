package dispatch

import (
	"io"
	"sync"

	"github.com/flamingowind/flamingowind/pkg/sse"
)

var (
	colon = []byte(":")
	space = []byte(" ")
)

const (
	initialBufferSize = 4 << 10  // initial size of a stream's buffer
	maxPooledBuffer   = 64 << 10 // larger buffers aren't reused for other streams
)

var eventBuffers = sync.Pool{New: func() any {
	b := make([]byte, initialBufferSize)
	return &b
}}

// eventReader splits a byte stream into server-sent events, in one pooled buffer.
type eventReader struct {
	src io.Reader
	max int
	// hold, if not nil, holds so many bytes of memory for the buffer. It returns false if there is no room for them.
	hold    func(bytes int64) bool
	pooled  *[]byte
	buf     []byte
	scanner sse.Scanner
	start   int // first byte that wasn't returned yet
	end     int // end of what was read
}

func newEventReader(src io.Reader, max int) *eventReader {
	p := eventBuffers.Get().(*[]byte)
	return &eventReader{src: src, max: max, pooled: p, buf: *p}
}

// release returns the buffer to the pool; events from nextBuffered are invalid afterwards.
func (r *eventReader) release() {
	if cap(r.buf) <= maxPooledBuffer {
		*r.pooled = r.buf
		eventBuffers.Put(r.pooled)
	}
	r.pooled, r.buf = nil, nil
}

// nextBuffered returns the first complete event in the buffer with its blank line, or nil if there
// is none. It is valid until the next fill.
func (r *eventReader) nextBuffered() ([]byte, error) {
	for {
		n, event := r.scanner.Scan(r.buf[r.start:r.end])
		if n == 0 {
			return nil, nil
		}
		if event && n > r.max {
			return nil, errTooLarge
		}
		raw := r.buf[r.start : r.start+n]
		r.start += n
		if event {
			return raw, nil
		}
	}
}

// finalEvent returns an event at the end of the stream that lacks only the LF of its last CRLF, or
// nil if there is none.
func (r *eventReader) finalEvent() []byte {
	rest := r.buf[r.start:r.end]
	if !r.scanner.Complete(rest) {
		return nil
	}
	r.start, r.scanner = r.end, sse.Scanner{}
	return rest
}

// fill reads more bytes and moves or grows the buffer if it is full. It returns errNoMemory if there is no room for
// a larger one, and io.ErrUnexpectedEOF at the end of the source, because nothing is read after the end marker of a complete stream.
func (r *eventReader) fill() error {
	if r.full() {
		return errTooLarge
	}
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) && !r.grow() {
		return errNoMemory
	}
	n, err := r.src.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// full reports whether the buffer holds as many bytes of an event as allowed. If an event lacks
// only the LF of its last CRLF, the next byte shows whether it is longer.
func (r *eventReader) full() bool {
	rest := r.buf[r.start:r.end]
	return len(rest) > r.max || len(rest) == r.max && !r.scanner.Complete(rest)
}

// grow reports whether there was room for a larger buffer.
func (r *eventReader) grow() bool {
	size := min(2*len(r.buf), r.max+1)
	if r.hold != nil && !r.hold(int64(size+len(r.buf))) { // both are in memory while the bytes are copied
		return false
	}
	bigger := make([]byte, size)
	copy(bigger, r.buf[:r.end])
	r.buf = bigger
	return true
}
