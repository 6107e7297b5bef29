package gateway

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// defaultMaxBody is the body limit, in bytes, if the configuration sets none.
const defaultMaxBody = 4 << 20

// bodyBufferStep is the size, in bytes, that body buffers are rounded up to, so that a buffer can
// be reused for bodies of about the same size.
const bodyBufferStep = 4 << 10

// bodyBuffers holds body buffers for reuse.
//
// A body of 8 KB is most of what a refused request allocates. On a host with little memory and
// many connections the garbage collector runs nearly all the time; reusing the buffers makes such
// a request a third cheaper.
var bodyBuffers = sync.Pool{New: func() any { return new([]byte) }}

// readBody reads the whole body. A body that the account of all bodies has no room for is refused, before it is read
// where its length is declared.
func (g *Gateway) readBody(r *request, limit int64) *verdict.Error {
	length := r.in.ContentLength
	if length == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	switch {
	case length > limit:
		r.leavesBody = true
		return errTooLarge()
	case !r.bodyLease.Hold(max(0, length)):
		r.leavesBody = true
		return g.refuseBody(r)
	}
	extent, err := r.readTimed(limit)
	r.leavesBody = false
	if err == nil && extent == buffers.Whole {
		r.readWhole = true
		return nil
	}
	return g.bodyError(r, extent, err)
}

// bodyError returns the error for a body that wasn't read to its end.
func (g *Gateway) bodyError(r *request, extent buffers.Extent, err error) *verdict.Error {
	r.leavesBody = err == nil
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errNotRun(http.StatusRequestTimeout, verdict.CodeBadRequest, "the body came too slowly", 0)
	case err != nil:
		r.logRecord.reason = err.Error()
		return errNotRun(http.StatusBadRequest, verdict.CodeBadRequest, "the body can't be read", 0)
	case extent == buffers.TooLarge:
		return errTooLarge()
	}
	return g.refuseBody(r)
}

// refuseBody returns the error for a body that there is no memory for.
func (g *Gateway) refuseBody(r *request) *verdict.Error {
	r.logRecord.reason = "no memory for the body"
	r.entry().RefuseBody()
	g.metrics.bodiesRefused.Inc(1)
	return errBodiesFull()
}

// readTimed reads the body. One that takes memory of the account must arrive by the request's deadline.
func (r *request) readTimed(limit int64) (buffers.Extent, error) {
	if length := r.in.ContentLength; length > 0 && length <= buffers.FreeBytes {
		return r.readAll(limit)
	}
	r.entry().HoldBody()
	control := http.NewResponseController(r.w)
	_ = control.SetReadDeadline(r.deadline) // fails on a closed connection, as reading does
	extent, err := r.readAll(limit)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return extent, err
}

func (r *request) readAll(limit int64) (extent buffers.Extent, err error) {
	if r.in.ContentLength > 0 {
		r.body, err = r.readFixedLength(r.in.ContentLength)
		return buffers.Whole, err
	}
	r.body, extent, err = r.bodyLease.Read(&longBodyReader{from: r.in.Body, request: r}, int(limit), 0)
	return extent, errors.Trace(err)
}

// readFixedLength reads a body whose length the caller declared.
//
// Guard: a buffer must not be reused while anybody still reads it, or one caller's body would be
// sent with another caller's request. Only bodies that package forward doesn't retain are read
// into pooled buffers, and a buffer is returned to the pool when its request has ended.
func (r *request) readFixedLength(length int64) ([]byte, error) {
	if length > wideBody {
		r.widenReceiveBuffer()
	}
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

// releaseBody gives the body's memory back.
func (r *request) releaseBody() {
	if r.bodyBuffer != nil {
		bodyBuffers.Put(r.bodyBuffer)
	}
	r.bodyBuffer, r.body = nil, nil
	r.bodyLease.Release()
}
