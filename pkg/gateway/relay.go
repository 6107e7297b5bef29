package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const (
	// discardTimeout bounds the time to read a body that nobody needs: the next attempt waits for it.
	discardTimeout   = 50 * time.Millisecond
	statusBadRequest = http.StatusBadRequest
	// copyBufferSize is the size of the buffers that responses are copied through, in bytes.
	copyBufferSize = 8 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// bufferedResponse is a response that was read to its end, or the start of a large one.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// isEventStream reports whether the response is a stream of events.
func (g *Gateway) isEventStream(r *request, resp *forward.Response) bool {
	return r.route.Kind == routing.Stream && resp.Status < http.StatusMultipleChoices
}

// discardBody reads a response that nobody needs, so that its connection can be reused.
func discardBody(resp *forward.Response) {
	if resp.Framing == forward.FramedByClose {
		return // its connection can't be reused
	}
	// An error closes the connection, and nothing else is needed then.
	_ = resp.DiscardBody(maxBufferedResponse, discardTimeout)
}

// relayBuffered relays a response that is not a stream once it is complete.
func (g *Gateway) relayBuffered(r *request, rec *attemptRecord, inst *upstream.Instance, resp *forward.Response) attemptResult {
	body, extent, err := r.readStart(resp)
	if err != nil {
		return g.attemptFailed(r, rec, inst, err)
	}
	if r.responseStarted {
		// A stream was to be resumed, but this response is not a stream: the caller can't use it.
		rec.Outcome = outcomeUpstreamFailure
		g.abortResponse(r)
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	if extent == buffers.NoRoom && resp.Status >= http.StatusInternalServerError {
		return g.errorUnread(r, rec, inst)
	}
	if extent != buffers.Whole {
		if extent == buffers.NoRoom {
			g.metrics.excess.count(boundUnbuffered, string(r.route.Kind))
		}
		g.relayLarge(r, rec, inst, resp, buffered)
		return attemptResult{done: true}
	}
	if resp.Status >= http.StatusInternalServerError {
		rec.Outcome = outcomeUpstreamFailure
		g.observeOutcome(inst, upstream.Failed, nil)
		r.keepResponse(buffered)
		return attemptResult{response: buffered}
	}
	if rec.Outcome == "" {
		rec.Outcome = outcomeServed
	}
	g.recordCompletion(r, resp)
	g.observeOutcome(inst, upstream.Served, nil)
	g.writeBuffered(r, buffered)
	return attemptResult{done: true}
}

// errorUnread handles an upstream's error that is too large for the memory that is left. Once relayed, it
// couldn't be retried.
func (g *Gateway) errorUnread(r *request, rec *attemptRecord, inst *upstream.Instance) attemptResult {
	r.dropResponse()
	rec.Outcome, rec.Error = outcomeUpstreamFailure, forward.ErrNoBuffer.Error()
	g.recordExcess(r, inst, forward.ErrNoBuffer)
	g.observeOutcome(inst, upstream.Failed, nil)
	return attemptResult{}
}

// writeBuffered writes a complete response with its Content-Length: without one, a response to an
// HTTP/1.0 caller ends with its connection, and would look complete wherever the router stops.
func (g *Gateway) writeBuffered(r *request, buffered *bufferedResponse) {
	if r.in.Method != http.MethodHead && buffered.status != http.StatusNoContent && buffered.status != http.StatusNotModified {
		buffered.header.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	g.writeResponse(r, buffered)
}

// writeResponse writes a response, or the start of a large one.
func (g *Gateway) writeResponse(r *request, response *bufferedResponse) {
	r.logRecord.status, r.logRecord.outcome = response.status, outcomeServed
	if response.status >= statusBadRequest {
		r.logRecord.outcome = outcomeUpstreamFailure
	}
	copyHeader(r.w.Header(), response.header, true)
	r.w.WriteHeader(response.status)
	// If the caller is gone, the request's context ends.
	_, _ = r.w.Write(response.body)
}

// relayLarge relays a response that can't be buffered: start, then the rest as it arrives.
func (g *Gateway) relayLarge(r *request, rec *attemptRecord, inst *upstream.Instance, resp *forward.Response, start *bufferedResponse) {
	g.writeResponse(r, start)
	r.releaseBuffers()
	w := &callerWriter{w: r.w}
	_, err := io.Copy(w, resp)
	switch {
	case w.err != nil:
		rec.Outcome = outcomeCallerLeft
		g.abortResponse(r)
	case err != nil:
		g.largeResponseBroken(r, rec, inst, err)
	}
	rec.Outcome = outcomeServed
	g.recordCompletion(r, resp)
	g.observeOutcome(inst, upstreamOutcome(resp.Status), nil)
}

// largeResponseBroken aborts the response to the caller after reading from the upstream failed. The
// upstream is at fault unless the request has expired or its caller has left.
func (g *Gateway) largeResponseBroken(r *request, rec *attemptRecord, inst *upstream.Instance, err error) {
	rec.Outcome, rec.Error = outcomeBroken, err.Error()
	if r.expired() || r.callerGone() {
		g.watchRun(r, inst)
		rec.Outcome = outcomeTimeout
		g.abortResponse(r)
	}
	g.recordBrokenRun(r, inst)
	g.observeOutcome(inst, g.failureOutcome(err), err)
	g.abortResponse(r)
}

// upstreamOutcome returns what a complete response with that status says about its upstream.
func upstreamOutcome(status int) upstream.Outcome {
	if status >= http.StatusInternalServerError {
		return upstream.Failed
	}
	return upstream.Served
}

// callerWriter keeps the error of writing to the caller, to tell it from one of reading from the upstream.
type callerWriter struct {
	w   io.Writer
	err error
}

func (w *callerWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	if err != nil {
		w.err = err
	}
	return n, err
}

// abortResponse breaks off the response to the caller, so that it can't look complete.
func (g *Gateway) abortResponse(r *request) {
	r.logRecord.outcome = outcomeCutShort
	if r.callerGone() || r.canceler.stopped.Load() {
		r.logRecord.outcome = g.cutOutcome(r)
	}
	if !r.in.ProtoAtLeast(1, 1) {
		g.resetOnClose(r)
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes closing the caller's connection reset it. An HTTP/1.0 response without a length
// ends with its connection, and after an orderly close it would look complete.
func (g *Gateway) resetOnClose(r *request) {
	c, ok := r.in.Context().Value(connKey{}).(*callerConn)
	if !ok || c.raw == nil {
		return
	}
	var sockErr error
	err := c.raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	if err == nil {
		err = sockErr
	}
	if err != nil {
		g.log.WithError(err).WithField("event", "cut_unseen").WithField("request", r.meta.RequestID).Warn("an HTTP/1.0 caller cannot detect that its response was truncated")
	}
}

// abortForCaller ends a request whose caller has left, without a response. A caller that closed
// only its sending side must not take an empty response for a complete one.
func (g *Gateway) abortForCaller(r *request) {
	r.logRecord.outcome = g.cutOutcome(r)
	panic(http.ErrAbortHandler)
}

// hopByHopHeaders are response headers that are not passed on to the caller.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func copyHeader(dst, src http.Header, keepLength bool) {
	for _, line := range src["Connection"] {
		for _, name := range strings.Split(line, ",") {
			src.Del(strings.TrimSpace(name))
		}
	}
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopByHopHeaders {
		if name == "Connection" && dst.Get(name) == "close" && src["Connection"] == nil {
			continue // set by the gateway, to close the connection
		}
		delete(dst, name)
	}
	if !keepLength {
		delete(dst, "Content-Length")
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // keeps the server from guessing one
	}
	if _, ok := dst["Date"]; !ok {
		dst["Date"] = nil
	}
}
