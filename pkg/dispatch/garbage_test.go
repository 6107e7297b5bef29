package dispatch

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// rawResponse responds with raw bytes, in which ID stands for the attempt's ID, and closes the
// connection.
func rawResponse(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // closing with unread bytes would reset the connection and lose the response
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte(strings.ReplaceAll(text, "ID", r.Header.Get(HeaderAttempt))))
	}
}

const (
	headerOK     = "HTTP/1.1 200 OK\r\nFlamingowind-Attempt: ID\r\n"
	headerStream = headerOK + "Content-Type: text/event-stream\r\n\r\n"
)

// Guards against truncated, malformed or misdirected responses that are passed on to the caller.
// Each must end as a typed error with the verdict may-have-run, and only a broken connection counts
// as a crash of the upstream.
func TestInvalidResponses(t *testing.T) {
	service := &Call{Method: http.MethodPost, Body: []byte("x")}
	model := &Call{Method: http.MethodPost, Body: []byte("{}"), Model: true}
	stream := streamCall(false)
	failed, died := wire.OutcomeFailed, wire.OutcomeDied
	cases := []struct {
		name     string
		call     *Call
		response string
		outcome  wire.Outcome
		fault    error
	}{
		{"not HTTP", service, "hello\r\n\r\n", failed, errMalformed},
		{"empty", service, "", died, errConnBroken},
		{"truncated header", service, "HTTP/1.1 200 OK\r\nFlam", died, errConnBroken},
		{"truncated body", service, headerOK + "Content-Length: 9\r\n\r\nabc", died, errConnBroken},
		{"truncated chunks", service, headerOK + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", died, errConnBroken},
		{"malformed chunks", service, headerOK + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", failed, errMalformed},
		{"no length, invalid JSON", model, headerOK + "\r\n{", failed, errMalformed},
		{"no length, too large", service, headerOK + "\r\n" + strings.Repeat("x", 2048), failed, errTooLarge},
		{"declared length too large", service, headerOK + "Content-Length: 999999\r\n\r\n", failed, errTooLarge},
		{"chunks too large", service, headerOK + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048), failed, errTooLarge},
		{"header too large", service, headerOK + "X: " + strings.Repeat("x", maxResponseHeader) + "\r\n\r\n", failed, errMalformed},
		{"ID of another attempt", service, "HTTP/1.1 200 OK\r\nFlamingowind-Attempt: other\r\nContent-Length: 0\r\n\r\n", failed, errWrongID},
		{"no attempt ID", service, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", failed, errWrongID},
		{"two attempt IDs", service, headerOK + "Flamingowind-Attempt: ID\r\nContent-Length: 0\r\n\r\n", failed, errWrongID},
		{"upgrade", service, "HTTP/1.1 101 Switching Protocols\r\nFlamingowind-Attempt: ID\r\n\r\n", failed, errMalformed},
		{"invalid JSON", model, headerOK + "Content-Length: 3\r\n\r\nabc", failed, errMalformed},
		{"not a stream", stream, headerOK + "Content-Length: 2\r\n\r\n{}", failed, errMalformed},
		{"empty stream", stream, headerStream, died, errConnBroken},
		{"event with invalid JSON", stream, headerStream + "data: abc\n\n", failed, errMalformed},
		{"event with a JSON array", stream, headerStream + "data: []\n\n", failed, errMalformed},
		{"event with empty data", stream, headerStream + "data:\n\n", failed, errMalformed},
		{"two data lines", stream, headerStream + "data: {}\ndata: {}\n\n", failed, errMalformed},
		{"invalid event ID", stream, headerStream + "id: -1\ndata: {}\n\n", failed, errMalformed},
		{"skipped event ID", stream, headerStream + eventText(0) + eventText(2), failed, errMalformed},
		{"event too large", stream, headerStream + "data: " + strings.Repeat("x", 2048), failed, errTooLarge},
		{"stream too large", stream, headerStream + eventsText(0, 500), failed, errTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			up := newUpstream(t, rawResponse(c.response))
			d := New(smallLimits())
			defer d.Close()
			slot := &fakeSlot{url: up.URL}
			r := d.Do(t.Context(), slot, c.call, new(fakeSink))
			if r.Err == nil {
				t.Fatal("response was accepted as complete")
			}
			checkEqual(t, "message", c.fault.Error(), r.Err.Message)
			checkEqual(t, "verdict", verdict.MayHaveRun, r.Verdict)
			checkEqual(t, "outcome", []wire.Outcome{c.outcome}, slot.outcomes)
		})
	}
}

func smallLimits() Limits {
	l := testLimits()
	l.MaxResponse, l.MaxEvent, l.MaxStream = 1024, 1024, 8192
	return l
}

// A response with another attempt's ID shows that requests and responses on a connection are out of
// step. All later responses on it would be out of step too, so it must not be reused.
func TestWrongAttemptDropsTheConnection(t *testing.T) {
	var conns atomic.Int32
	up := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderAttempt, "another")
	}))
	up.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	up.Start()
	defer up.Close()
	d := New(testLimits())
	defer d.Close()
	for range 3 {
		r := d.Do(t.Context(), &fakeSlot{url: up.URL}, &Call{Method: http.MethodPost, Body: []byte("x")}, nil)
		checkEqual(t, "message", errWrongID.Error(), r.Err.Message)
	}
	checkEqual(t, "connections", int32(3), conns.Load())
}

// An upstream accepts a request and then sends nothing on the open connection. The attempt must time
// out with the verdict may-have-run and be canceled at the upstream.
func TestHangingUpstream(t *testing.T) {
	for name, call := range map[string]*Call{
		"plain":  {Method: http.MethodPost, Body: []byte("{}"), Model: true},
		"stream": streamCall(false),
	} {
		t.Run(name, func(t *testing.T) {
			cancelled := make(chan struct{}, 1)
			up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // otherwise net/http doesn't watch the connection
				if r.Method == http.MethodDelete {
					cancelled <- struct{}{}
					echoAttempt(w, r)
					return
				}
				if call.Stream {
					sendEvents(w, r, eventText(0))
				}
				<-r.Context().Done()
			})
			l := testLimits()
			l.EventTimeout, l.ResponseTimeout = 30*time.Millisecond, 30*time.Millisecond
			d := New(l)
			defer d.Close()
			r := d.Do(t.Context(), &fakeSlot{url: up.URL}, call, new(fakeSink))
			checkEqual(t, "verdict", verdict.MayHaveRun, r.Verdict)
			checkEqual(t, "outcome", wire.OutcomeFailed, r.Outcome)
			checkEqual(t, "status", http.StatusGatewayTimeout, r.Err.Status)
			<-cancelled
		})
	}
}

// Only the connection's close ends a response without a length. Guards against one that is accepted
// as complete although the upstream crashed, or as broken although the upstream is alive.
func TestResponseWithoutLengthIsCompleteIfUpstreamIsAlive(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		var up *httptest.Server
		up = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			if crashes {
				_ = up.Listener.Close()
			}
			rawResponse(headerOK+"\r\nabc")(w, r)
		})
		r, slot, _ := do(t, up.URL, &Call{Method: http.MethodPost, Body: []byte("x")})
		if !crashes {
			requireComplete(t, r)
			checkEqual(t, "body", "abc", string(r.Body))
			continue
		}
		checkEqual(t, "failed", true, r.Err != nil)
		checkEqual(t, "verdict", verdict.MayHaveRun, r.Verdict)
		checkEqual(t, "outcome", []wire.Outcome{wire.OutcomeDied}, slot.outcomes)
	}
}
