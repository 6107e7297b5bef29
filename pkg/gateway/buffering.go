package gateway

import (
	"io"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/forward"
)

const (
	// maxBufferedResponse is the size, in bytes, up to which a response is read whole before its
	// first byte is relayed, so that the request can be retried if the upstream breaks off.
	maxBufferedResponse = 256 << 10
	// minResponseBuffer is the size, in bytes, of the buffer that a response is first read into.
	minResponseBuffer = 512
	// eventCopies is how many times the bytes of an unfinished event are in memory while it grows.
	eventCopies = 2
)

// readStart reads a response until it ends, exceeds maxBufferedResponse or finds no memory in the budget of
// all requests. whole is true if it has ended.
func (r *request) readStart(resp *forward.Response) (body []byte, whole bool, err error) {
	body = make([]byte, 0, minResponseBuffer)
	for {
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, len(body) <= maxBufferedResponse, nil
		}
		if err != nil {
			r.releaseBuffers()
			return nil, false, err
		}
		if len(body) < cap(body) {
			continue
		}
		grown := min(2*cap(body), maxBufferedResponse+1)
		if len(body) > maxBufferedResponse || !r.lease.Hold(r.keptBytes+int64(grown)) {
			return body, false, nil
		}
		body = append(make([]byte, 0, grown), body...)
	}
}

// holdEvents holds the memory of the events that were read but not relayed. It returns false if the budget
// of all requests has no room for the unfinished one.
func (r *request) holdEvents(events *forward.EventSplitter, ready int) bool {
	unfinished := eventCopies * int64(events.PendingBytes())
	return r.lease.Hold(r.keptBytes+unfinished+int64(ready)) || r.lease.Hold(r.keptBytes+unfinished)
}

// keepResponse keeps the memory of a response for the case that no retry is possible.
func (r *request) keepResponse(buffered *bufferedResponse) { r.keptBytes = int64(cap(buffered.body)) }

// releaseBuffers gives back the memory of an attempt that has ended, but not that of a response that is kept.
func (r *request) releaseBuffers() { r.lease.Hold(r.keptBytes) }
