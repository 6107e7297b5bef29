package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/pkg/forward"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const (
	statusBadRequest = http.StatusBadRequest
	// wholeLimit is the largest answer that is read whole before its first byte is
	// passed on, so that one broken off can still be repeated, in bytes.
	wholeLimit = 256 << 10
	// copyBuffer is the size of the buffers that answers pass through, in bytes.
	copyBuffer = 8 << 10
)

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// streams reports whether the answer is a series of events.
func (g *Gateway) streams(r *request, a *forward.Answer) bool {
	return r.route.Kind == routing.Stream && a.Status < http.StatusMultipleChoices
}

// drain reads an answer that nobody needs, so that its connection can be kept.
func drain(a *forward.Answer) {
	if a.Framing == forward.FramedByClose {
		return // its connection ends with it
	}
	// What fails here closes the connection, which is all that is needed.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, wholeLimit))
}

// relayWhole passes a plain answer on once it is complete.
func (g *Gateway) relayWhole(r *request, st *step, in *upstream.Instance, a *forward.Answer) result {
	body, err := io.ReadAll(io.LimitReader(a, wholeLimit+1))
	if err != nil {
		return g.failed(r, st, in, err)
	}
	if r.begun {
		// A stream that was to go on got something else: its caller can't be helped.
		st.Outcome = outcomeFailure
		g.cut(r)
	}
	answer := &whole{status: a.Status, header: a.Header, body: body}
	if len(body) > wholeLimit {
		g.relayLong(r, st, in, a, answer)
		return result{done: true}
	}
	if a.Status >= http.StatusInternalServerError {
		st.Outcome = outcomeFailure
		g.observe(in, upstream.Failed, nil)
		return result{answer: answer}
	}
	if st.Outcome == "" {
		st.Outcome = outcomeServed
	}
	g.clear(r)
	g.observe(in, upstream.Served, nil)
	g.writeWhole(r, answer)
	return result{done: true}
}

// writeWhole passes on an answer of which nothing is missing, with its length: framed by the end of
// the connection it would look complete to a caller of HTTP/1.0 wherever the router ends.
func (g *Gateway) writeWhole(r *request, answer *whole) {
	if r.in.Method != http.MethodHead && answer.status != http.StatusNoContent && answer.status != http.StatusNotModified {
		answer.header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	g.write(r, answer)
}

// write passes on an answer, or the start of a long one.
func (g *Gateway) write(r *request, answer *whole) {
	r.trail.status, r.trail.outcome = answer.status, outcomeServed
	if answer.status >= statusBadRequest {
		r.trail.outcome = outcomeFailure
	}
	copyHeader(r.w.Header(), answer.header, true)
	r.w.WriteHeader(answer.status)
	// A caller that is gone shows as the end of the request's context.
	_, _ = r.w.Write(answer.body)
}

// relayLong passes on an answer that is too long to be kept: start, then the rest as it
// comes.
func (g *Gateway) relayLong(r *request, st *step, in *upstream.Instance, a *forward.Answer, start *whole) {
	g.write(r, start)
	caller := &callerWriter{to: r.w}
	_, err := io.Copy(caller, a)
	switch {
	case caller.failed != nil:
		st.Outcome = outcomeCallerOff
		g.cut(r)
	case err != nil:
		g.longBroken(r, st, in, err)
	}
	st.Outcome = outcomeServed
	g.clear(r)
	g.observe(in, outcomeOf(a.Status), nil)
}

// longBroken cuts the answer to the caller, whose upstream broke off unless the request is over.
func (g *Gateway) longBroken(r *request, st *step, in *upstream.Instance, err error) {
	st.Outcome, st.Error = outcomeBroken, err.Error()
	if r.over() || r.callerGone() {
		st.Outcome = outcomeTimeout
		g.cut(r)
	}
	g.suspect(r)
	g.observe(in, g.blame(err), err)
	g.cut(r)
}

// outcomeOf is what a whole answer says of its upstream.
func outcomeOf(status int) upstream.Outcome {
	if status >= http.StatusInternalServerError {
		return upstream.Failed
	}
	return upstream.Served
}

// callerWriter tells a caller that takes no more from an upstream that gives no more.
type callerWriter struct {
	to     io.Writer
	failed error
}

func (w *callerWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	if err != nil {
		w.failed = err
	}
	return n, err
}

// cut breaks the answer to the caller off, so that it can't look complete.
func (g *Gateway) cut(r *request) {
	r.trail.outcome = outcomeCutShort
	if r.callerGone() {
		r.trail.outcome = outcomeCallerOff
	}
	if !r.in.ProtoAtLeast(1, 1) {
		g.resetOnClose(r)
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose has the close of the caller's connection reset it. An HTTP/1.0 answer without a length
// ends with its connection, and one that is closed in order looks complete.
func (g *Gateway) resetOnClose(r *request) {
	c, ok := r.in.Context().Value(connKey{}).(*callerConn)
	if !ok || c.raw == nil {
		return
	}
	var failed error
	err := c.raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		g.log.WithError(err).WithField("event", "cut_unseen").WithField("request", r.ask.RequestID).Warn("an HTTP/1.0 caller can't be told that its answer was cut")
	}
}

// hangUp ends a request whose caller has left, without an answer. One that closed only its
// own way of the connection must not take an empty answer for a complete one.
func (g *Gateway) hangUp(r *request) {
	r.trail.outcome = outcomeCallerOff
	panic(http.ErrAbortHandler)
}

// hopHeaders of an answer end at the gateway.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func copyHeader(to, from http.Header, length bool) {
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			from.Del(strings.TrimSpace(name))
		}
	}
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopHeaders {
		if name == "Connection" && to.Get(name) == "close" && from["Connection"] == nil {
			continue // ours: the router is leaving
		}
		delete(to, name)
	}
	if !length {
		delete(to, "Content-Length")
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps the server from guessing one
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil
	}
}
