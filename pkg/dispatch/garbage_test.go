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

// rawResponse answers with raw bytes, then closes the connection. ID stands for the attempt.
func rawResponse(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // closing with unread bytes would reset the connection and lose the answer
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

// An upstream answers something that is not the whole answer to this request: the
// caller would take a cut, foreign or meaningless answer for its own. Each must end as
// a typed error with the verdict may-have-run, and only a connection that broke counts
// as the upstream's death.
func TestAnswersThatAreNotWhole(t *testing.T) {
	service := &Call{Method: http.MethodPost, Body: []byte("x")}
	model := &Call{Method: http.MethodPost, Body: []byte("{}"), Model: true}
	stream := streamCall(false)
	failed, died := wire.OutcomeFailed, wire.OutcomeDied
	cases := []struct {
		name    string
		call    *Call
		answer  string
		outcome wire.Outcome
		fault   error
	}{
		{"no HTTP", service, "hello\r\n\r\n", failed, errMalformed},
		{"nothing", service, "", died, errConnBroken},
		{"cut head", service, "HTTP/1.1 200 OK\r\nFlam", died, errConnBroken},
		{"cut body", service, headerOK + "Content-Length: 9\r\n\r\nabc", died, errConnBroken},
		{"cut chunks", service, headerOK + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", died, errConnBroken},
		{"bad chunks", service, headerOK + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", failed, errMalformed},
		{"no length, no JSON", model, headerOK + "\r\n{", failed, errMalformed},
		{"no length, huge", service, headerOK + "\r\n" + strings.Repeat("x", 2048), failed, errTooLarge},
		{"huge declared", service, headerOK + "Content-Length: 999999\r\n\r\n", failed, errTooLarge},
		{"huge chunks", service, headerOK + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048), failed, errTooLarge},
		{"huge head", service, headerOK + "X: " + strings.Repeat("x", maxResponseHeader) + "\r\n\r\n", failed, errMalformed},
		{"other attempt", service, "HTTP/1.1 200 OK\r\nFlamingowind-Attempt: other\r\nContent-Length: 0\r\n\r\n", failed, errWrongID},
		{"no attempt", service, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", failed, errWrongID},
		{"two attempts", service, headerOK + "Flamingowind-Attempt: ID\r\nContent-Length: 0\r\n\r\n", failed, errWrongID},
		{"upgrade", service, "HTTP/1.1 101 Switching Protocols\r\nFlamingowind-Attempt: ID\r\n\r\n", failed, errMalformed},
		{"no JSON", model, headerOK + "Content-Length: 3\r\n\r\nabc", failed, errMalformed},
		{"no stream", stream, headerOK + "Content-Length: 2\r\n\r\n{}", failed, errMalformed},
		{"stream of nothing", stream, headerStream, died, errConnBroken},
		{"event of garbage", stream, headerStream + "data: abc\n\n", failed, errMalformed},
		{"event of list", stream, headerStream + "data: []\n\n", failed, errMalformed},
		{"empty event", stream, headerStream + "data:\n\n", failed, errMalformed},
		{"two data lines", stream, headerStream + "data: {}\ndata: {}\n\n", failed, errMalformed},
		{"bad id", stream, headerStream + "id: -1\ndata: {}\n\n", failed, errMalformed},
		{"gap", stream, headerStream + eventText(0) + eventText(2), failed, errMalformed},
		{"huge event", stream, headerStream + "data: " + strings.Repeat("x", 2048), failed, errTooLarge},
		{"huge stream", stream, headerStream + eventsText(0, 500), failed, errTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			up := newUpstream(t, rawResponse(c.answer))
			d := New(smallLimits())
			defer d.Close()
			slot := &fakeSlot{url: up.URL}
			r := d.Do(t.Context(), slot, c.call, new(fakeSink))
			if r.Err == nil {
				t.Fatal("taken for whole")
			}
			checkEqual(t, "message", c.fault.Error(), r.Err.Message)
			checkEqual(t, "verdict", verdict.MayHaveRun, r.Verdict)
			checkEqual(t, "outcome", []wire.Outcome{c.outcome}, slot.outcomes)
		})
	}
}

func smallLimits() Limits {
	l := testLimits()
	l.MaxAnswer, l.MaxEvent, l.MaxStream = 1024, 1024, 8192
	return l
}

// An answer with another attempt's ID shows that a connection is out of step. All later
// answers on it would be out of step too, so it must not be used again.
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

// An upstream takes a request and then says nothing, with its connection open. The
// attempt must end by itself, with the verdict may-have-run, and be cancelled.
func TestHangingUpstream(t *testing.T) {
	for name, call := range map[string]*Call{
		"plain":  {Method: http.MethodPost, Body: []byte("{}"), Model: true},
		"stream": streamCall(false),
	} {
		t.Run(name, func(t *testing.T) {
			cancelled := make(chan struct{}, 1)
			up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // else net/http doesn't watch the connection
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
			l.Hang, l.Answer = 30*time.Millisecond, 30*time.Millisecond
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

// Guards against an answer that ends with its upstream's connection and is taken for whole though the
// upstream died, or for broken though it is well.
func TestAnAnswerWithoutLengthIsWholeIfItsUpstreamLives(t *testing.T) {
	for _, dies := range []bool{false, true} {
		var up *httptest.Server
		up = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			if dies {
				_ = up.Listener.Close()
			}
			rawResponse(headerOK+"\r\nabc")(w, r)
		})
		r, slot, _ := do(t, up.URL, &Call{Method: http.MethodPost, Body: []byte("x")})
		if !dies {
			requireComplete(t, r)
			checkEqual(t, "body", "abc", string(r.Body))
			continue
		}
		checkEqual(t, "failed", true, r.Err != nil)
		checkEqual(t, "r.Verdict", verdict.MayHaveRun, r.Verdict)
		checkEqual(t, "slot.outcome", []wire.Outcome{wire.OutcomeDied}, slot.outcomes)
	}
}
