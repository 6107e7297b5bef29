package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/internal/unread"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Values of Retry-After.
const (
	// transientRetryAfter is for short-lived conditions: a router without configuration, an
	// upstream that was just lost.
	transientRetryAfter = 250 * time.Millisecond
	// otherRouterRetryAfter is for callers of a router that is draining or overloaded: other routers
	// can serve them at once.
	otherRouterRetryAfter = 50 * time.Millisecond
)

func errNotRun(status int, code verdict.Code, message string, retryAfter time.Duration) *verdict.Error {
	e := verdict.New(verdict.NotRun, status, code, message)
	e.RetryAfter = retryAfter
	return e
}

func errNoConfig() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeStale, "no configuration is known yet", transientRetryAfter)
}

func errOutdatedConfig() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeStale, "a newer configuration is in force than this router has", transientRetryAfter)
}

func errNoRoute() *verdict.Error {
	return errNotRun(http.StatusNotFound, verdict.CodeNotFound, "no route takes this host and path", 0)
}

func errUnknownKey() *verdict.Error {
	return errNotRun(http.StatusUnauthorized, verdict.CodeUnauthorized, "the key is not known", 0)
}

func errTooLarge() *verdict.Error {
	return errNotRun(http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, "the body is too large", 0)
}

func errHeaderTooLarge() *verdict.Error {
	return errNotRun(http.StatusRequestHeaderFieldsTooLarge, verdict.CodeTooLarge, "the header is too large", 0)
}

func errDraining() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeDraining, "this router is leaving", otherRouterRetryAfter)
}

func errRouterOverloaded() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeOverloaded, "this router has no processor or memory to spare", otherRouterRetryAfter)
}

func errBodiesFull() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeOverloaded, "this router has no memory to spare for the body", transientRetryAfter)
}

func errNoUpstream() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeNoUpstream, "no upstream of the service can be used", transientRetryAfter)
}

func errAllLeaving() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeUpstreamsLeaving, "all upstreams of the service are leaving", transientRetryAfter)
}

func errAllBackingOff(retryAfter time.Duration) *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeUpstreamsBackoff, "all upstreams of the service want no requests for now", retryAfter)
}

func errCold() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeOverloaded, "all upstreams of the service are cold", transientRetryAfter)
}

func errUpstreamsFull(retryAfter time.Duration) *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeOverloaded, "the upstreams are full", retryAfter)
}

func errQuarantined(retryAfter time.Duration) *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeQuarantined, "upstreams crashed while they ran this request; it is refused for a time", retryAfter)
}

// errPartQuarantined doesn't say which part it is: its ID may be another organisation's.
func errPartQuarantined(retryAfter time.Duration) *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodePartQuarantined, "upstreams crashed while they ran requests with a part of this prompt; it is refused for a time", retryAfter)
}

// errStreamUnknown tells the caller to start anew: no router knows which software version began the
// stream, and another one must not go on with it.
func errStreamUnknown() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeStreamUnknown, "the software version that began this stream is not known; request it from the beginning", 0)
}

// errStreamUnread tells the caller to come back: the records of streams in the store can't be read yet.
func errStreamUnread() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeStreamUnknown, "the software version that began this stream is not known yet; the records of streams can't be read", transientRetryAfter)
}

func errStreamMoved() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeStreamGone, "the route no longer leads to the service that began this stream; request it from the beginning", 0)
}

func errSoftwareGone() *verdict.Error {
	return errNotRun(http.StatusServiceUnavailable, verdict.CodeStreamGone, "no upstream of the software version that began this stream is left; request it from the beginning", 0)
}

func errTimeout() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, verdict.CodeDeadline, "no answer in time")
}

func errUpstreamFailed() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, verdict.CodeUpstreamFailed, "the upstream broke off or answered garbage")
}

// RejectionResponse returns the whole response, header and body, for a connection that is rejected before
// its request is read; after is its Retry-After.
func RejectionResponse(after time.Duration) []byte {
	e := errRouterOverloaded().WithRetryAfter(after)
	body := errorText(e)
	response := http.Response{StatusCode: e.Status, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
	setErrorHeaders(response.Header, e)
	var b bytes.Buffer
	_ = response.Write(&b) // writing to a bytes.Buffer doesn't fail
	return b.Bytes()
}

// writeError responds with an error of the gateway itself.
func writeError(w http.ResponseWriter, e *verdict.Error) {
	setErrorHeaders(w.Header(), e)
	w.WriteHeader(e.Status)
	w.Write([]byte(errorText(e)))
}

// refuseUnread refuses a request at once, and then reads what its caller still sends.
func (r *request) refuseUnread(e *verdict.Error) {
	r.restoreReceiveBuffer()
	r.releaseBody()
	h := r.w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Length", strconv.Itoa(len(errorText(e))))
	writeError(r.w, e)
	unread.Drain(r.w, r.in)
}

// errorText returns the body of the response to a refused request.
func errorText(e *verdict.Error) string { return e.Message + "\n" }

// setErrorHeaders sets the headers of an error of the gateway itself.
func setErrorHeaders(h http.Header, e *verdict.Error) {
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
}
