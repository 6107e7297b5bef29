package dispatch

import (
	"context"
	"net/http"
	"net/http/httptrace"
)

// cancel tells a model engine to stop the attempt. If only the connection breaks, an engine
// continues a stream for a while so that it can be resumed, and would work for a caller that has
// left.
func (a *attempt) cancel() {
	if !a.call.Model {
		return
	}
	target, err := a.resolve(a.streamPath(), "")
	if err != nil {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(a.ctx), a.d.limits.CancelTimeout)
	defer stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: new(gate).attach})
	req := (&http.Request{Method: http.MethodDelete, URL: target, Header: http.Header{HeaderAttempt: {a.id}}}).WithContext(ctx)
	resp, err := a.d.transport.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}
