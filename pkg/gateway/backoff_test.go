package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// pushingBack responds that the request wasn't run and that the upstream wants none for backoff.
func pushingBack(backoff time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Not-Run", "1")
		rw.Header().Set("X-Backoff", backoff.String())
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against requests that were placed before an upstream asked for a backoff and are sent after it: with many
// under way, those that wait for a connection or the CPU would pile up there.
func TestRequestsUnderWayRespectABackoff(t *testing.T) {
	for _, underWay := range []int{1, 24, 200} {
		env := newTestEnv(t)
		env.startUpstreams(pushingBack(time.Minute), pushingBack(time.Minute))
		var all sync.WaitGroup
		for i := range underWay {
			all.Go(func() { env.get("/safe/", "X-Id", "under-way-"+strconv.Itoa(i)) })
		}
		all.Wait()
		before := env.upstreamRequests()
		for i := range 50 {
			status, body, h := env.get("/safe/", "X-Id", "after-"+strconv.Itoa(i))
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Contains(t, body, "want no requests for now")
			after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.Greater(t, after, 50.0, "callers return after the backoff")
		}
		require.Equal(t, before, env.upstreamRequests(), "%d under way", underWay)
	}
}

// Guards against a router that treats an upstream as out of use beyond the backoff that it asked for.
func TestAnUpstreamIsUsedAgainAfterItsBackoff(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("first"), respondWith("second"))
	in := env.catalog.Instances().Get("i0")
	env.gateway.observeNotice(in, upstream.Notice{Backoff: 100 * time.Millisecond})
	_, body, _ := env.get("/safe/")
	require.Equal(t, "second", body)
	require.Eventually(t, func() bool {
		_, body, _ := env.get("/safe/")
		return body == "first"
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against callers that all return in the instant in which a backoff ends, or before.
func TestCallersReturnSpreadAfterABackoff(t *testing.T) {
	for _, left := range []time.Duration{time.Millisecond, time.Second, time.Minute} {
		require.Equal(t, left, returnAfter(left, 0))
		require.GreaterOrEqual(t, returnAfter(left, 0.999), left+minReturnSpread*99/100)
		require.Less(t, returnAfter(left, 0.999), left+maxReturnSpread)
	}
}

// Guards against rests of streams whose callers are sent back and forth while all upstreams of their version are out of
// use, though others of the service are not.
func TestRestsOfStreamsAreRefusedByTheirVersion(t *testing.T) {
	env := newTestEnv(t)
	env.startVersions(2, "v1", "v2")
	cfg := env.config()
	r := &request{service: &cfg.Services[0], bound: true, software: "v1"}
	first := env.catalog.Instances().Get("i0")
	env.gateway.observeNotice(first, upstream.Notice{Backoff: time.Minute})
	require.Equal(t, verdict.CodeUpstreamsBackoff, env.gateway.errNoCandidate(r).Code)
	env.gateway.observeNotice(first, upstream.Notice{Leaving: true})
	require.Equal(t, verdict.CodeNoUpstream, env.gateway.errNoCandidate(r).Code, "its end is not certain yet")
	r.tried = map[upstream.ID]bool{"i0": true}
	require.Equal(t, verdict.CodeStreamGone, env.gateway.errNoCandidate(r).Code)
	r.bound = false
	require.Equal(t, verdict.CodeNoUpstream, env.gateway.errNoCandidate(r).Code, "the other version is in use")
}

// Guards against requests that were placed before an upstream asked for a backoff, waited for a turn, a connection or
// the CPU, and are sent in its time.
func TestABackoffIsCheckedBeforeTheFirstByte(t *testing.T) {
	env := newTestEnv(t)
	env.startUpstreams(respondWith("first"))
	chosen := env.catalog.Instances().Get("i0")
	r := &request{route: &env.config().Routes[0], service: &env.config().Services[0], in: env.newRequest("/safe/")}
	require.True(t, env.gateway.sendable(r, chosen))
	env.gateway.observeNotice(chosen, upstream.Notice{Backoff: time.Minute})
	require.False(t, env.gateway.sendable(r, chosen))
}
