package dispatch

import (
	"net/http"
	"testing"
)

// Guards against responses that are cut anywhere, in the head, a chunk's head or the trailers, and count as complete.
func TestResponsesCutAnywhereAreNotComplete(t *testing.T) {
	service := &Call{Method: http.MethodPost, Body: []byte("x")}
	model := &Call{Method: http.MethodPost, Body: []byte("{}"), Model: true}
	done := eventText(0) + "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		call     *Call
		response string
		// whole is the shortest part of the response that is complete.
		whole int
	}{
		"length":         {call: service, response: headerOK + "Content-Length: 2\r\n\r\n{}"},
		"chunks":         {call: service, response: headerOK + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
		"trailers":       {call: service, response: headerOK + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-T: 1\r\n\r\n"},
		"interim":        {call: service, response: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + headerOK + "Content-Length: 2\r\n\r\n{}"},
		"unframed head":  {call: service, response: headerOK + "\r\n"},
		"model length":   {call: model, response: headerOK + "Content-Length: 2\r\n\r\n{}"},
		"model chunks":   {call: model, response: headerOK + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
		"model unframed": {call: model, response: headerOK + "\r\n{}"},
		"stream":         {call: streamCall(false), response: headerStream + done, whole: len(headerStream + done)},
	} {
		t.Run(name, func(t *testing.T) {
			if c.whole == 0 {
				c.whole = len(c.response)
			}
			for cut := range c.whole {
				up := newUpstream(t, rawResponse(c.response[:cut]))
				d := New(testLimits())
				r := d.Do(t.Context(), &fakeSlot{url: up.URL}, c.call, new(fakeSink))
				d.Close()
				up.Close()
				if r.Err == nil {
					t.Fatalf("complete with %d of %d bytes: status %d, body %q", cut, c.whole, r.Status, r.Body)
				}
			}
		})
	}
}
