package gateway

import (
	"io"
	"sync"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
)

// bodyBufferStep is the size, in bytes, that body buffers are rounded up to, so that a buffer can
// be reused for bodies of about the same size.
const bodyBufferStep = 4 << 10

// bodyBuffers holds body buffers for reuse.
//
// A body of 8 KB is most of what a refused request allocates. On a host with little memory and
// many connections the garbage collector runs nearly all the time; reusing the buffers makes such
// a request a third cheaper.
var bodyBuffers = sync.Pool{New: func() any { return new([]byte) }}

// readFixedLength reads a body whose length the caller declared.
//
// Guard: a buffer must not be reused while anybody still reads it, or one caller's body would be
// sent with another caller's request. Only bodies that package forward doesn't retain are read
// into pooled buffers, and a buffer is returned to the pool when its request has ended.
func (r *request) readFixedLength(length int64) ([]byte, error) {
	if length > forward.MaxJoinedBody {
		return readFull(r.in.Body, make([]byte, length))
	}
	r.bodyBuffer = bodyBuffers.Get().(*[]byte)
	if int64(cap(*r.bodyBuffer)) < length {
		*r.bodyBuffer = make([]byte, (length+bodyBufferStep-1)/bodyBufferStep*bodyBufferStep)
	}
	return readFull(r.in.Body, (*r.bodyBuffer)[:length])
}

func readFull(src io.Reader, dst []byte) ([]byte, error) {
	_, err := io.ReadFull(src, dst)
	return dst, errors.Trace(err)
}

// releaseBody returns the body's buffer to the pool.
func (r *request) releaseBody() {
	if r.bodyBuffer == nil {
		return
	}
	bodyBuffers.Put(r.bodyBuffer)
	r.bodyBuffer, r.body = nil, nil
}
