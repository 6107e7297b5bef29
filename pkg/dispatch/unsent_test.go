package dispatch

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Nothing listens at an upstream's address. No byte of the request can have been sent, so the verdict
// is not-run and the call may go to another upstream.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + l.Addr().String()
	_ = l.Close()
	for name, call := range map[string]*Call{"plain": {Method: http.MethodPost}, "stream": streamCall(true)} {
		r, slot, _ := do(t, url, call)
		checkEqual(t, name+": verdict", verdict.NotRun, r.Verdict)
		checkEqual(t, name+": code", verdict.CodeNoUpstream, r.Err.Code)
		checkEqual(t, name+": starts", 0, slot.starts)
		checkEqual(t, name+": outcome", []wire.Outcome{wire.OutcomeUnreachable}, slot.outcomes)
	}
}

// A router is paused between the grant and the send; meanwhile the grant expires and its slot is
// granted to another request. When the router continues it must send nothing, neither on a new
// connection nor on a kept-alive one.
func TestExpiredGrantSendsNothing(t *testing.T) {
	var requests atomic.Int32
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		echoAttempt(w, r)
	})
	d := New(testLimits())
	defer d.Close()
	call := &Call{Method: http.MethodPost, Body: []byte("x")}
	for _, before := range []int32{0, 1} {
		slot := &fakeSlot{url: up.URL, expired: true}
		r := d.Do(t.Context(), slot, call, nil)
		checkEqual(t, "verdict", verdict.NotRun, r.Verdict)
		checkEqual(t, "outcome", []wire.Outcome{wire.OutcomeUnused}, slot.outcomes)
		checkEqual(t, "requests", before, requests.Load())
		requireComplete(t, d.Do(t.Context(), &fakeSlot{url: up.URL}, call, nil))
	}
}

// The caller disconnects while its request waits for a connection. The transport returns an error, but
// its write loop may still be about to write: no byte may be sent after the verdict.
func TestSealedGatePassesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	g := &gate{start: func() bool { t.Error("start was called after seal"); return true }}
	c := &conn{Conn: near}
	c.setGate(g)
	checkEqual(t, "state", gateSealed, g.seal())
	_, err := c.Write([]byte("GET"))
	checkEqual(t, "error", errSealed.Error(), err.Error())
}

// The transport sends a request on one connection and, if that fails, uses a second one for the same
// attempt. Nothing may be sent on the second.
func TestGatePassesOneConnectionOnly(t *testing.T) {
	starts := 0
	g := &gate{start: func() bool { starts++; return true }}
	first, second := new(conn), new(conn)
	checkEqual(t, "first write", nil, g.admitWrite(first))
	checkEqual(t, "next write on the same connection", nil, g.admitWrite(first))
	checkEqual(t, "other connection refused", true, g.admitWrite(second) != nil)
	checkEqual(t, "starts", 1, starts)
	checkEqual(t, "state", gateOpen, g.seal())
}

func TestCallerGoneBeforeTheFirstByte(t *testing.T) {
	up := newUpstream(t, func(http.ResponseWriter, *http.Request) { t.Error("request arrived") })
	d := New(testLimits())
	defer d.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	slot := &fakeSlot{url: up.URL}
	r := d.Do(ctx, slot, &Call{Method: http.MethodPost}, nil)
	checkEqual(t, "verdict", verdict.NotRun, r.Verdict)
	checkEqual(t, "outcome", []wire.Outcome{wire.OutcomeUnused}, slot.outcomes)
}

// A connection is dropped for a response to another attempt when it is already back in the pool. The
// next attempt on it must fail before its first byte, or an unrelated call would end as may-have-run.
func TestDroppedConnectionTakesNoByte(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near}
	last, next := new(gate), new(gate)
	c.setGate(last)
	c.dropFor(last)
	c.setGate(next)
	_, err := c.Write([]byte("GET"))
	checkEqual(t, "error", errDropped.Error(), err.Error())
	checkEqual(t, "state", gateSealed, next.seal())
}
