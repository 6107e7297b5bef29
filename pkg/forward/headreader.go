package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/flamingowind/flamingowind/internal/responsehead"
	"github.com/flamingowind/flamingowind/pkg/buffers"
)

// Bounds on the head of a response.
const (
	// DefaultMaxHead is the size, in bytes, that a head may have unless SetMaxHead sets another one.
	DefaultMaxHead = 64 << 10
	// MinMaxHead and MaxMaxHead bound that setting, in bytes. A smaller head than readBufferSize can't be
	// told from the bytes that follow it.
	MinMaxHead = readBufferSize
	MaxMaxHead = 1 << 20
	// maxHeadLines is about the number of lines that a head may have, as a read isn't split. It bounds the memory of a parsed head, whose lines take far more than their bytes.
	maxHeadLines = 512
	// headCopies is how many copies of a head's bytes are in memory while it is parsed.
	headCopies = 2
	// maxInterim is the number of interim (1xx) responses that may come before a response.
	maxInterim = 16
)

// headReader reads from a connection. It bounds the bytes and lines of a head while it reads one.
type headReader struct {
	from io.Reader
	// reading is true while a head is read. limit and left are the bytes that the head may have and those
	// that may still be read, linesLeft the lines.
	reading     bool
	limit, left int64
	linesLeft   int
	// lease holds the memory of the head until its response ends.
	lease   buffers.Lease
	framing responsehead.FramingCheck
	// failed is the error that ended the reading of a head here.
	failed error
}

// Read reads from the connection. It returns an error if a head has used up its bytes or lines, or if the
// router lacks the memory for it.
func (h *headReader) Read(b []byte) (int, error) {
	if !h.reading {
		return h.from.Read(b)
	}
	if h.failed == nil {
		h.failed = h.check()
	}
	if h.failed != nil {
		return 0, h.failed
	}
	n, err := h.from.Read(b[:min(int64(len(b)), h.left)])
	h.framing.Read(b[:n], int(h.limit))
	h.left -= int64(n)
	h.linesLeft -= bytes.Count(b[:n], []byte{'\n'})
	return n, err
}

// check returns an error if no more of the head may be read.
func (h *headReader) check() error {
	switch {
	case h.left <= 0:
		return &ExcessError{Bound: BoundHeadBytes, Limit: h.limit}
	case h.linesLeft < 0:
		return &ExcessError{Bound: BoundHeadLines, Limit: maxHeadLines}
	case !h.lease.Hold(headCopies * (h.limit - h.left)):
		return ErrNoBuffer
	}
	return nil
}

// begin marks the start of a head, of which buffered has been read already.
func (h *headReader) begin(limit int64, buffered []byte) {
	h.reading, h.limit, h.left, h.failed = true, limit, limit-int64(len(buffered)), nil
	h.linesLeft = maxHeadLines - bytes.Count(buffered, []byte{'\n'})
}

// end marks the end of a head.
func (h *headReader) end() {
	h.reading = false
	h.framing.Skip()
}

// readResponse reads the head of the next response and skips interim (1xx) ones. r reads from h.
func (h *headReader) readResponse(r *bufio.Reader, limit int64, request *http.Request) (*http.Response, error) {
	buffered, err := r.Peek(r.Buffered())
	if err != nil {
		return nil, err
	}
	h.begin(limit, buffered)
	defer h.end()
	for interim := 0; interim <= maxInterim; interim++ {
		if err := h.beginFraming(r); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(r, request)
		if h.failed != nil {
			return nil, h.failed // a head that was cut off may also be malformed
		}
		if err != nil {
			return nil, err
		}
		if err := responsehead.Check(resp); err != nil {
			return nil, err
		}
		if err := h.framing.Check(); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, &ExcessError{Bound: BoundInterim, Limit: maxInterim}
}

// beginFraming begins the check of the next head, the beginning of which r may have read already.
func (h *headReader) beginFraming(r *bufio.Reader) error {
	buffered, err := r.Peek(r.Buffered())
	h.framing.Reset()
	h.framing.Read(buffered, int(h.limit))
	return err
}
