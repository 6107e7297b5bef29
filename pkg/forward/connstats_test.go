package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// counted returns the counts of connections that aren't zero.
func counted(ps *Pools) map[string]int64 {
	all := make(map[string]int64)
	ps.EachConnectionCount(func(event, reason string, n int64) {
		if n != 0 {
			all[event+" "+reason] = n
		}
	})
	return all
}

// Guards against connections whose end has no reason, or a wrong one, in the counters.
func TestEndsOfConnectionsAreCounted(t *testing.T) {
	complete := func(c net.Conn, r *bufio.Reader) { echo(c, r) }
	answer := func(text string) connScript {
		return func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, text)
			readRequest(r)
		}
	}
	read := func(_ *testing.T, _ *Pools, resp *Response) {
		io.Copy(io.Discard, resp)
		resp.Close()
	}
	for name, one := range map[string]struct {
		script connScript
		then   func(t *testing.T, ps *Pools, resp *Response)
		want   map[string]int64
	}{
		"read to its end": {complete, read, map[string]int64{"opened first": 1}},
		"not read":        {complete, func(_ *testing.T, _ *Pools, resp *Response) { resp.Close() }, map[string]int64{"opened first": 1, "closed unread": 1}},
		"the response says close": {answer("HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\nok"), read,
			map[string]int64{"opened first": 1, "closed by_upstream": 1}},
		"idle for too long": {complete, func(t *testing.T, ps *Pools, resp *Response) {
			read(t, ps, resp)
			ps.sweep(newSet(&upstream.Instance{ID: "i", Addr: resp.pool.addr, State: upstream.Ready}), time.Now().Add(time.Minute))
		}, map[string]int64{"opened first": 1, "closed idle_timeout": 1}},
		"unlisted": {complete, func(t *testing.T, ps *Pools, resp *Response) {
			read(t, ps, resp)
			ps.UpdateList(newSet(), time.Now())
		}, map[string]int64{"opened first": 1, "closed unlisted": 1}},
		"bytes after the response": {answer(responseText("one", "ok") + "more"), read, map[string]int64{"opened first": 1, "closed error": 1}},
		"contradiction": {complete, func(t *testing.T, ps *Pools, resp *Response) {
			resp.DisableReuse()
			read(t, ps, resp)
		}, map[string]int64{"opened first": 1, "closed error": 1}},
		"reused": {complete, func(t *testing.T, ps *Pools, resp *Response) {
			read(t, ps, resp)
			again, err := do(t, ps, get(&upstream.Instance{ID: "i", Addr: resp.pool.addr}, "two"))
			require.NoError(t, err)
			read(t, ps, again)
		}, map[string]int64{"opened first": 1, "reused idle": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			ps := NewPools(idHeader)
			resp, err := do(t, ps, get(fakeUpstream(t, one.script), "one"))
			require.NoError(t, err)
			one.then(t, ps, resp)
			require.Equal(t, one.want, counted(ps))
		})
	}
}

// Guards against requests that fail before their response without a count of their connection.
func TestEndsOfConnectionsWithoutAResponseAreCounted(t *testing.T) {
	in := fakeUpstream(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	ps := NewPools(idHeader)
	_, err := do(t, ps, get(in, "one"))
	require.Error(t, err)
	require.Equal(t, map[string]int64{"opened first": 1, "closed error": 1, "unanswered closed": 1}, counted(ps))

	ps = NewPools(idHeader)
	var canceled Abort
	canceled.Trigger()
	call := get(fakeUpstream(t, echo), "one")
	call.Abort = &canceled
	_, err = do(t, ps, call)
	require.Error(t, err)
	require.Equal(t, map[string]int64{"opened first": 1, "closed aborted": 1}, counted(ps))
}

// Guards against an upstream that closes idle connections sooner than it announced: the next request must open one and be counted so.
func TestConnectionsClosedSoonerThanAnnouncedAreCounted(t *testing.T) {
	closed := make(chan struct{})
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, responseText("one", "ok"))
		c.Close()
		close(closed)
	}, echo)
	ps := NewPools(idHeader)
	resp, err := do(t, ps, get(in, "one"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
	<-closed
	resp, err = do(t, ps, get(in, "two"))
	require.NoError(t, err)
	require.Equal(t, "ok", body(t, resp))
	require.Equal(t, map[string]int64{"opened first": 1, "closed stale": 1, "opened none_idle": 1}, counted(ps))
}

// Guards against a response that comes before its request's long body was sent being counted as read.
func TestEarlyResponsesAreCountedAsUnsent(t *testing.T) {
	in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, responseText("one", "ok"))
		io.Copy(io.Discard, r)
	})
	r := &Response{ctx: context.Background(), atEOF: true, idleTimeout: time.Second, bodySent: make(chan error)}
	ps := NewPools(idHeader)
	cn, err := ps.poolFor(in).acquire(context.Background(), time.Now())
	require.NoError(t, err)
	r.conn, r.pool, r.body, r.stopAfterFunc = cn, ps.poolFor(in), io.NopCloser(strings.NewReader("")), func() bool { return true }
	r.Close()
	require.Equal(t, map[string]int64{"opened first": 1, "closed unsent": 1}, counted(ps))
}

// Guards against a kept connection that is closed after a request was sent on it and counts as one that
// was closed before.
func TestKeptConnectionsThatCloseWithoutAResponseAreCounted(t *testing.T) {
	for reason, answer := range map[string]string{"closed": "", "malformed": "nothing of the protocol\r\n\r\n"} {
		in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, responseText("one", "ok"))
			readRequest(r)
			io.WriteString(c, answer)
		})
		ps := NewPools(idHeader)
		resp, err := do(t, ps, get(in, "one"))
		require.NoError(t, err)
		require.Equal(t, "ok", body(t, resp))
		_, err = do(t, ps, get(in, "two"))
		require.Error(t, err)
		require.Equal(t, map[string]int64{"opened first": 1, "reused idle": 1, "closed error": 1, "kept_unanswered " + reason: 1}, counted(ps))
	}
}
