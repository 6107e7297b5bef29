package forward

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/buffers"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

const (
	endlessUpstreams = 100
	endlessTries     = 1000
	// maxHeapGrowth is what upstreams in trouble may cost a router, in bytes.
	maxHeapGrowth = 16 << 20
)

// liveHeap returns the bytes of the heap that were in use when the collector last ran. Garbage doesn't count: how
// much of it there is depends on when the collector runs, and the memory limit of the process bounds it.
func liveHeap() int64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// Guards against heads without end from many upstreams at once, whose sum fills the router's memory.
func TestManyEndlessHeadsTakeLittleMemory(t *testing.T) {
	heads := [][]byte{
		[]byte("HTTP/1.1 200 " + strings.Repeat("O", 100<<10)),
		[]byte("HTTP/1.1 200 OK\r\nX-Fill: " + strings.Repeat("f", 100<<10)),
		[]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Fill: f\r\n", 10<<10)),
		[]byte("HTTP/1.1 200 OK\r\nX-Fill: f\r\n" + strings.Repeat(" "+strings.Repeat("f", 1000)+"\r\n", 100)),
		[]byte(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 4<<10)),
	}
	var upstreams []*upstream.Instance
	for len(upstreams) < endlessUpstreams {
		for _, data := range heads {
			upstreams = append(upstreams, fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) == nil {
					return
				}
				for {
					if _, err := c.Write(data); err != nil {
						return
					}
				}
			}))
		}
	}
	ps := NewPools(idHeader)
	ps.Buffers().SetLimit(buffers.LimitFor(144 << 20))
	ctx, cancel := context.WithTimeout(t.Context(), 10*testTimeout)
	defer cancel()
	runtime.GC()
	before := liveHeap()
	peaks := make([]int64, len(upstreams))
	var calls sync.WaitGroup
	for i, in := range upstreams {
		calls.Go(func() {
			for range endlessTries / endlessUpstreams {
				_, err := ps.Do(ctx, get(in, "one"))
				assert.Error(t, err)
				if i == 0 {
					runtime.GC()
				}
				peaks[i] = max(peaks[i], liveHeap())
			}
		})
	}
	calls.Wait()
	require.NoError(t, ctx.Err(), "ended by the deadline")
	for _, peak := range peaks {
		require.Less(t, peak-before, int64(maxHeapGrowth))
	}
}

// Guards against heads that stop just below the bound of each on many connections, so that the router holds them.
func TestManyUnfinishedHeadsTakeLittleMemory(t *testing.T) {
	held := make(chan struct{}, endlessUpstreams)
	texts := []string{
		"HTTP/1.1 200 OK\r\nX-Fill: " + strings.Repeat("f", 60<<10),
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Fill: f\r\n", maxHeadLines-20),
	}
	ps := NewPools(idHeader)
	ps.Buffers().SetLimit(buffers.LimitFor(144 << 20))
	ctx, cancel := context.WithTimeout(t.Context(), 10*testTimeout)
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	runtime.GC()
	before := liveHeap()
	for i := range endlessUpstreams {
		data := []byte(texts[i%len(texts)])
		in := fakeUpstream(t, func(c net.Conn, r *bufio.Reader) {
			if readRequest(r) == nil {
				return
			}
			if _, err := c.Write(data); err != nil {
				return
			}
			held <- struct{}{}
			readRequest(r) // until the connection ends
		})
		calls.Go(func() {
			_, err := ps.Do(ctx, get(in, "one"))
			assert.Error(t, err)
		})
	}
	for range endlessUpstreams {
		<-held
	}
	for ctx.Err() == nil && ps.Traffic().Received < endlessUpstreams/2*int64(len(texts[0])+len(texts[1])) {
		runtime.Gosched()
	}
	require.NoError(t, ctx.Err(), "some heads were not read")
	runtime.GC()
	require.Less(t, liveHeap()-before, int64(maxHeapGrowth))
}
