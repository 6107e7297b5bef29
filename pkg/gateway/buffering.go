package gateway

import (
	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/forward"
)

const (
	// maxBufferedResponse is the size, in bytes, up to which a response is read whole before its
	// first byte is relayed, so that the request can be retried if the upstream breaks off.
	maxBufferedResponse = 256 << 10
	// eventCopies is how many times the bytes of an unfinished event are in memory while it grows.
	eventCopies = 2
)

// readStart reads a response until it ends, exceeds maxBufferedResponse or finds no memory in the budget of
// all requests.
func (r *request) readStart(resp *forward.Response) (body []byte, extent buffers.Extent, err error) {
	return r.lease.Read(resp, maxBufferedResponse, r.keptBytes)
}

// holdEvents holds the memory of the events that were read but not relayed. It returns false if the budget
// of all requests has no room for the unfinished one.
func (r *request) holdEvents(events *forward.EventSplitter, ready int) bool {
	unfinished := eventCopies * int64(events.PendingBytes())
	return r.lease.Hold(r.keptBytes+unfinished+int64(ready)) || r.lease.Hold(r.keptBytes+unfinished)
}

// keepResponse keeps the memory of a response for the case that no retry is possible, and gives back that of the
// one that it replaces.
func (r *request) keepResponse(buffered *bufferedResponse) {
	r.keptBytes = int64(cap(buffered.body))
	r.releaseBuffers()
}

// dropResponse gives back the memory of the attempt and of the response that was kept.
func (r *request) dropResponse() {
	r.keptBytes = 0
	r.releaseBuffers()
}

// releaseBuffers gives back the memory of an attempt that has ended, but not that of a response that is kept.
func (r *request) releaseBuffers() { r.lease.Hold(r.keptBytes) }
