package dispatch

import (
	"bytes"
	"io"
	"sync"
)

var (
	newline  = []byte("\n")
	carriage = []byte("\r")
	colon    = []byte(":")
	space    = []byte(" ")
)

const (
	eventBuffer = 4 << 10  // first size of a stream's buffer
	keepBuffer  = 64 << 10 // larger buffers aren't kept for other streams
)

var buffers = sync.Pool{New: func() any {
	b := make([]byte, eventBuffer)
	return &b
}}

// eventReader cuts a byte stream into server-sent events, in one pooled buffer.
type eventReader struct {
	src    io.Reader
	max    int
	pooled *[]byte
	buf    []byte
	begin  int // first byte that wasn't returned yet
	line   int // first byte of the line being looked at
	end    int // end of what was read
}

func newEventReader(src io.Reader, max int) *eventReader {
	p := buffers.Get().(*[]byte)
	return &eventReader{src: src, max: max, pooled: p, buf: *p}
}

// release gives the buffer back; nothing returned by cut is valid afterwards.
func (r *eventReader) release() {
	if cap(r.buf) <= keepBuffer {
		*r.pooled = r.buf
		buffers.Put(r.pooled)
	}
	r.pooled, r.buf = nil, nil
}

// cut returns the first complete event of the buffer with its blank line, nil when
// there is none. It is valid until the next fill.
func (r *eventReader) cut() []byte {
	for {
		n := bytes.IndexByte(r.buf[r.line:r.end], '\n')
		if n < 0 {
			return nil
		}
		first, last := r.line, r.line+n
		r.line = last + 1
		blank := n == 0 || (n == 1 && r.buf[first] == '\r')
		if !blank {
			continue
		}
		raw := r.buf[r.begin:r.line]
		r.begin = r.line
		if first > r.begin-len(raw) {
			return raw
		}
	}
}

// fill reads more, moving or growing the buffer when it is full. The source's end is
// io.ErrUnexpectedEOF: an orderly end shows by its end marker, after which nobody reads.
func (r *eventReader) fill() error {
	if r.end-r.begin >= r.max {
		return errTooMuch
	}
	if r.begin > 0 {
		copy(r.buf, r.buf[r.begin:r.end])
		r.line -= r.begin
		r.end -= r.begin
		r.begin = 0
	}
	if r.end == len(r.buf) {
		r.grow()
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

func (r *eventReader) grow() {
	bigger := make([]byte, min(2*len(r.buf), r.max))
	copy(bigger, r.buf[:r.end])
	r.buf = bigger
}
