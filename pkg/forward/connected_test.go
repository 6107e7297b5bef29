package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// isConnected asks for an instance alone.
func isConnected(ps *Pools, in *upstream.Instance, now time.Time) bool {
	connected := false
	ps.EachConnected(1, func(int) *upstream.Instance { return in }, func(int) { connected = true }, now)
	return connected
}

// serveOnce sends a request to an upstream and reads the response to its end.
func serveOnce(t *testing.T, ps *Pools, in *upstream.Instance) {
	resp, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
}

// Guards against connections in use, or idle for too long, being taken for ones that a request can use.
func TestConnectedMeansIdleAndUsable(t *testing.T) {
	in := withStart(fakeUpstream(t, echo), 1000)
	ps := NewPools(idHeader)
	ps.UpdateList(newSet(in), time.Time{})
	require.False(t, isConnected(ps, in, time.Now()))
	resp, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.False(t, isConnected(ps, in, time.Now()), "a request uses it")
	require.Equal(t, "ok", body(t, resp))
	require.True(t, isConnected(ps, in, time.Now()))
	require.False(t, isConnected(ps, in, time.Now().Add(defaultIdleTimeout)))
	ps.sweep(newSet(in), time.Now().Add(defaultIdleTimeout))
	require.False(t, isConnected(ps, in, time.Now()), "it was closed")
}

// Guards against an engine that closes idle connections sooner than announced being preferred for ever, or failing a request.
func TestAConnectionClosedSoonerIsPreferredOnce(t *testing.T) {
	closed := make(chan struct{})
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nKeep-Alive: timeout=30\r\nContent-Length: 2\r\n\r\nok")
		c.Close()
		close(closed)
	}, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	})
	ps := NewPools(idHeader)
	serveOnce(t, ps, in)
	<-closed
	require.True(t, isConnected(ps, in, time.Now()), "nobody has looked at it since")
	serveOnce(t, ps, in)
	require.False(t, isConnected(ps, in, time.Now()))
	require.EqualValues(t, 1, counted(ps)["closed stale"])
}

// Guards against a connection that went silent being preferred after the request on it was given up.
func TestASilentConnectionIsNotPreferred(t *testing.T) {
	arrived := make(chan struct{})
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, responseText("one", "ok"))
		readRequest(r)
		close(arrived)
		readRequest(r)
	})
	ps := NewPools(idHeader)
	serveOnce(t, ps, in)
	require.True(t, isConnected(ps, in, time.Now()))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := ps.Do(ctx, get(in, "one"))
		ended <- err
	}()
	<-arrived
	require.False(t, isConnected(ps, in, time.Now()))
	cancel()
	require.Error(t, <-ended)
	require.False(t, isConnected(ps, in, time.Now()))
	require.EqualValues(t, 1, counted(ps)["closed aborted"])
}

// Guards against a list that changes while a connection is idle: it belongs to its life, whatever entry names that.
func TestAListThatChangesKeepsConnectionsOfItsLives(t *testing.T) {
	in := withStart(fakeUpstream(t, echo), 1000)
	ps := NewPools(idHeader)
	ps.UpdateList(newSet(in), time.Time{})
	serveOnce(t, ps, in)
	same, next := newSet(withStart(in, 1000)), newSet(withStart(in, 2000))
	ps.UpdateList(same, time.Now())
	require.True(t, isConnected(ps, same.Get(in.ID), time.Now()))
	ps.UpdateList(next, time.Now())
	require.False(t, isConnected(ps, next.Get(in.ID), time.Now()), "another life")
	require.False(t, isConnected(ps, same.Get(in.ID), time.Now()), "the life that has ended")
}

// Guards against a router that starts again and takes connections of its life before for its own.
func TestARouterThatStartsIsConnectedToNothing(t *testing.T) {
	in := fakeUpstream(t, echo)
	serveOnce(t, NewPools(idHeader), in)
	require.False(t, isConnected(NewPools(idHeader), in, time.Now()))
}

// BenchmarkEachConnected asks for the instances of a large fleet, a quarter of which are connected.
func BenchmarkEachConnected(b *testing.B) {
	ps, now := NewPools(idHeader), time.Now()
	var list []*upstream.Instance
	for i := range 64 {
		in := &upstream.Instance{ID: upstream.ID("i-" + itoa(i)), Addr: "10.0.0.1:1"}
		list = append(list, in)
		if p := ps.poolFor(in); i%4 == 0 {
			p.idleUntil.Store(int64(time.Hour))
		}
	}
	instance := func(i int) *upstream.Instance { return list[i] }
	b.ReportAllocs()
	for b.Loop() {
		connected := 0
		ps.EachConnected(len(list), instance, func(int) { connected++ }, now)
	}
}
