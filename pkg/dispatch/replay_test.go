package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// closingUpstream starts an upstream that responds to a connection's first request, keeps the
// connection alive, and closes it as soon as it has read the second request.
func closingUpstream(t *testing.T) (url string, requests *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go closeOnSecondRequest(c, requests)
		}
	}()
	return "http://" + l.Addr().String(), requests
}

func closeOnSecondRequest(c net.Conn, requests *atomic.Int32) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if n == 1 {
			return
		}
		id := req.Header.Get(HeaderAttempt)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": " + id + "\r\nContent-Length: 2\r\n\r\n{}"))
	}
}

// The upstream closes a kept-alive connection just after the next request is sent. net/http treats
// requests without a body, or with an Idempotency-Key, as safe and resends them: the upstream would
// receive three requests for two calls. It must receive two, and the second call's verdict must be
// may-have-run.
func TestClosedKeepAliveIsNotReplayed(t *testing.T) {
	calls := map[string]*Call{
		"get":                {Method: http.MethodGet},
		"delete with key":    {Method: http.MethodDelete, Header: http.Header{"Idempotency-Key": {"k"}}},
		"post with key":      {Method: http.MethodPost, Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("{}")},
		"post without body":  {Method: http.MethodPost, Header: http.Header{"Idempotency-Key": {"k"}}},
		"model without body": {Method: http.MethodPost, Model: true, Body: []byte("{}")},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			url, requests := closingUpstream(t)
			d := New(testLimits())
			defer d.Close()
			first := d.Do(t.Context(), &fakeSlot{url: url}, call, nil)
			requireComplete(t, first)
			slot := &fakeSlot{url: url}
			second := d.Do(t.Context(), slot, call, nil)
			checkEqual(t, "failed", true, second.Err != nil)
			checkEqual(t, "verdict", verdict.MayHaveRun, second.Verdict)
			checkEqual(t, "outcome", []wire.Outcome{wire.OutcomeDied}, slot.outcomes)
			checkEqual(t, "requests at the upstream", int32(2), requests.Load())
		})
	}
}
