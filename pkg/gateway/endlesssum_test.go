package gateway

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/forward"
)

// Guards against a large answer that is lost, or cut, because others hold the memory for buffers.
func TestAnswersWithoutMemoryAreRelayedAsTheyArrive(t *testing.T) {
	env := newTestEnv(t)
	_, scope := env.recordLog()
	env.gateway.pools.Buffers().SetLimit(0)
	answer := strings.Repeat("x", 100<<10)
	env.startUpstreams(respondWith(answer))
	status, body, _ := env.get("/safe/")
	require.Equal(t, 200, status)
	require.Equal(t, answer, body)
	status, body, header := env.get("/once/")
	require.Equal(t, 200, status)
	require.Equal(t, answer, body)
	require.Empty(t, header.Get("Content-Length"), "buffered")
	require.EqualValues(t, 2, counted(scope, "gateway.responses_exceeding", boundUnbuffered))
	require.Zero(t, counted(scope, "gateway.responses_exceeding", boundMemory), "cut off")
	env.requireNothingHeld()
}

// Guards against an upstream's error that is relayed instead of retried, because others hold the memory for buffers.
func TestErrorsWithoutMemoryAreRetried(t *testing.T) {
	env := newTestEnv(t)
	_, scope := env.recordLog()
	env.gateway.pools.Buffers().SetLimit(0)
	fail := func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusInternalServerError)
		io.WriteString(rw, strings.Repeat("x", 100<<10))
	}
	env.startUpstreams(fail, respondWith("ok"))
	status, body, _ := env.get("/safe/")
	require.Equal(t, 200, status)
	require.Equal(t, "ok", body)
	require.Equal(t, 2, env.upstreamRequests())
	env.resetHealth()
	status, body, _ = env.get("/once/")
	require.Equal(t, http.StatusBadGateway, status)
	require.Contains(t, body, errUpstreamFailed().Message)
	require.Equal(t, 3, env.upstreamRequests(), "run twice")
	require.EqualValues(t, 2, counted(scope, "gateway.responses_exceeding", boundMemory))
	require.Zero(t, counted(scope, "gateway.responses_exceeding", boundUnbuffered))
	env.requireNothingHeld()
}

// Guards against an upstream's error that is lost, although nothing but its own size kept it from being buffered.
func TestErrorsTooLargeToBufferAreRelayed(t *testing.T) {
	env := newTestEnv(t)
	_, scope := env.recordLog()
	failure := strings.Repeat("x", 2*maxBufferedResponse)
	env.startUpstreams(func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusInternalServerError)
		io.WriteString(rw, failure)
	})
	status, body, _ := env.get("/safe/")
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, failure, body)
	for _, bound := range []string{boundMemory, boundUnbuffered} {
		require.Zero(t, counted(scope, "gateway.responses_exceeding", bound))
	}
	env.requireNothingHeld()
}

// Guards against the memory of a kept response that stays taken once another one replaces it.
func TestAKeptResponseReplacesTheOneBefore(t *testing.T) {
	budget := buffers.NewBudget(1 << 20)
	r := &request{lease: budget.Lease()}
	for range 3 {
		body, extent, err := r.lease.Read(strings.NewReader(strings.Repeat("x", 100<<10)), maxBufferedResponse, r.keptBytes)
		require.NoError(t, err)
		require.Equal(t, buffers.Whole, extent)
		r.keepResponse(&bufferedResponse{body: body})
		require.EqualValues(t, cap(body)-buffers.FreeBytes, budget.Used())
	}
	r.dropResponse()
	require.Zero(t, budget.Used())
}

// Guards against usual answers and events that change because others hold the memory for buffers.
func TestUsualAnswersNeedNoSharedMemory(t *testing.T) {
	env := newTestEnv(t)
	env.gateway.pools.Buffers().SetLimit(0)
	answer := strings.Repeat("x", buffers.FreeBytes/2)
	env.startUpstreams(respondWith(answer))
	status, body, header := env.get("/safe/")
	require.Equal(t, 200, status)
	require.Equal(t, answer, body)
	require.NotEmpty(t, header.Get("Content-Length"), "not buffered")
	env = newTestEnv(t)
	env.gateway.pools.Buffers().SetLimit(0)
	env.startUpstreams(respondWith(events(1, 2000)))
	status, body, _ = env.get("/stream/")
	require.Equal(t, 200, status)
	require.Equal(t, events(1, 2000), body)
}

// Guards against an event that finds no memory and is taken for complete, or for its upstream's fault.
func TestEventsWithoutMemoryBreakTheStream(t *testing.T) {
	env := newTestEnv(t)
	_, scope := env.recordLog()
	env.gateway.pools.Buffers().SetLimit(0)
	env.startUpstreams(respondWith(events(1, 2) + "data: " + strings.Repeat("x", 100<<10) + "\n\n"))
	_, body := env.requireCut("/stream/")
	require.Equal(t, events(1, 2), string(body))
	_, usable := env.gateway.health.Usable(env.instances[0].Life(), time.Now())
	require.True(t, usable)
	require.EqualValues(t, 1, counted(scope, "gateway.responses_exceeding", boundMemory))
	env.requireNothingHeld()
}

// Guards against unfinished events of many upstreams, whose sum fills the router's memory.
func TestUnfinishedEventsTakeLittleMemory(t *testing.T) {
	const (
		streams   = 100
		maxGrowth = 16 << 20 // bytes
	)
	budget := buffers.NewBudget(buffers.LimitFor(144 << 20))
	requests := make([]*request, streams)
	data := bytes.Repeat([]byte("x"), copyBufferSize)
	runtime.GC()
	before := heapInUse()
	for i := range requests {
		requests[i] = &request{lease: budget.Lease()}
	}
	broken := 0
	for range forward.MaxEventSize / copyBufferSize {
		for i, r := range requests {
			if r == nil {
				continue
			}
			_, _, ok := r.eventSplitter().Push(data)
			require.True(t, ok)
			if !r.holdEvents(r.eventSplitter(), 0) {
				r.eventSplitter().DiscardPartial()
				r.releaseBuffers()
				requests[i] = nil
				broken++
			}
		}
	}
	runtime.GC()
	require.Less(t, heapInUse()-before, int64(maxGrowth))
	require.Positive(t, broken)
	require.Less(t, broken, streams, "no stream goes on")
	runtime.KeepAlive(requests)
}

// Guards against streams with unfinished events that hold more than the budget, or that look complete when they
// are broken off for it.
func TestUnfinishedEventsShareTheBudget(t *testing.T) {
	const callers = 100
	env := newTestEnv(t)
	_, scope := env.recordLog()
	config := env.config()
	config.Version++
	for i := range config.Routes {
		config.Routes[i].Timeout = time.Minute
	}
	env.catalog.Adopt(config, "test")
	budget := env.gateway.pools.Buffers()
	budget.SetLimit(buffers.LimitFor(64 << 20))
	first := []byte(endlessChunked + chunk(events(1, 1)))
	unfinished := []byte(chunk("data: " + strings.Repeat("x", forward.MaxEventSize-1000)))
	begin, end := make(chan struct{}), make(chan struct{})
	var used atomic.Int64 // the peak
	env.startUpstreams(func(rw http.ResponseWriter, _ *http.Request) {
		c, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		c.Write(first)
		<-begin
		for part := range slices.Chunk(unfinished, copyBufferSize) {
			if _, err := c.Write(part); err != nil {
				return
			}
			for now, peak := budget.Used(), used.Load(); now > peak && !used.CompareAndSwap(peak, now); peak = used.Load() {
			}
		}
		<-end
	})
	var bodies []io.ReadCloser
	for range callers {
		resp, err := env.client.Do(env.newRequest("/stream/", "X-Deadline", "60000"))
		require.NoError(t, err)
		bodies = append(bodies, resp.Body)
	}
	close(begin)
	// The streams that fit are held until others found no memory; then their upstreams break off.
	exceeding := func() int64 { return counted(scope, "gateway.responses_exceeding", boundMemory) }
	assert.Eventually(t, func() bool { return exceeding() > 0 }, 30*time.Second, time.Millisecond)
	close(end)
	var all sync.WaitGroup
	for _, body := range bodies {
		all.Go(func() {
			defer body.Close()
			_, err := io.Copy(io.Discard, body)
			assert.Error(t, err)
		})
	}
	all.Wait()
	require.Positive(t, exceeding())
	require.Less(t, exceeding(), int64(callers), "no stream goes on")
	require.Positive(t, used.Load())
	require.LessOrEqual(t, used.Load(), budget.Limit())
	env.requireNothingHeld()
}

// heapInUse returns the bytes of the heap.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
