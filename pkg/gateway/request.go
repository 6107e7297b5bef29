package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/affinity"
	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// request is one caller's request on its way through the gateway.
type request struct {
	// ctx ends with the caller's connection and, from the first attempt on, at deadline.
	ctx           context.Context
	in            *http.Request
	w             http.ResponseWriter
	meta          RequestMetadata
	start         time.Time
	deadline      time.Time // when the final response is due
	configVersion int64
	route         *routing.Route
	org           string
	service       *routing.Service
	body          []byte
	// readWhole says that the whole request was read.
	readWhole bool
	// returned says that the handler returned without a panic.
	returned bool
	// bodyBuffer is the pooled buffer that holds body; nil if body has memory of its own.
	bodyBuffer *[]byte
	// bodyLease holds the memory of body.
	bodyLease buffers.Lease
	// usualReceiveBuffer is the size, in bytes, of the receive buffer that was widened for the body; 0 if it wasn't.
	usualReceiveBuffer int
	// leavesBody is whether a refusal leaves a part of the body unread that the server wouldn't read either.
	leavesBody bool
	// contentHash identifies what the request would run.
	contentHash uint64
	// parts identifies the shared parts of the prompt, see partHashes.
	parts    []uint64
	prefixes []placement.Prefix
	tried    map[upstream.ID]bool
	// splitter splits the stream into events, over all attempts; responseStarted is set once the
	// response header has been sent to the caller.
	splitter        *forward.EventSplitter
	responseStarted bool
	// lease holds the memory of what was read of responses, keptBytes that of a response which is kept for the
	// case that no retry is possible.
	lease     buffers.Lease
	keptBytes int64
	// software is the software version that wrote the stream's first event. Events of another version
	// don't fit that one, so once it is known, bound is set and no other version may go on. boundBy says
	// how it is known of a stream that the caller resumes, doubt why the sole version isn't.
	boundBy  affinity.Source
	doubt    affinity.Doubt
	software string
	bound    bool
	// standing compares what the organisation gets with its fair share.
	standing  placement.Standing
	logRecord logRecord
	canceler  canceler
	// unwatch ends the watch for the caller's disconnect; it is set by bindCancellation.
	unwatch func()
}

// remaining returns how long an upstream may still work on the request.
func (r *request) remaining(now time.Time) time.Duration { return r.deadline.Sub(now) }

// expired reports whether the deadline has passed or ctx has ended. The context's own timer may fire
// late on a host whose CPU is exhausted.
func (r *request) expired() bool { return r.ctx.Err() != nil || !time.Now().Before(r.deadline) }

// callerGone reports whether the caller is known to have left.
func (r *request) callerGone() bool { return r.in.Context().Err() != nil || r.canceler.left.Load() }

// stillWanted checks the caller's connection and reports whether a response is still of use.
func (r *request) stillWanted() bool {
	if callerClosedConn(r.in.Context()) {
		r.canceler.left.Store(true)
	}
	return !r.callerGone() && !r.expired()
}

// bindCancellation makes the request end at its deadline, and when its caller disconnects. A request
// that is refused before its first attempt does without it, which saves 0.6 KB of 5.5 KB and 7 of
// 79 allocations.
func (r *request) bindCancellation(d *disconnectWatcher) {
	if r.canceler.cancel == nil {
		r.ctx, r.canceler.cancel = context.WithDeadline(r.ctx, r.deadline)
		r.unwatch = d.watch(r)
	}
}

// release frees the resources that the request holds.
func (r *request) release() {
	if r.canceler.cancel != nil {
		r.unwatch()
		r.canceler.cancel()
	}
	r.restoreReceiveBuffer()
	r.releaseBody()
	r.lease.Release()
}
