package stops

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// traffic keeps what callers sent.
type traffic struct {
	routers []*router
	mu      sync.Mutex
	list    []*request
	next    int
}

// Times and numbers of callers.
const (
	// most is the largest number of requests on a connection.
	most = 12
	// idleMost is the longest time that a connection is idle.
	idleMost = 1500 * time.Millisecond
	// pipelinedEvery is the number of requests of which one is followed by another before its answer.
	pipelinedEvery = 12
	// pause is the longest pause between two connections of a caller.
	pause = 150 * time.Millisecond
)

// caller uses one connection after the other until ctx ends.
func (t *traffic) caller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		r := t.routers[random.IntN(len(t.routers))]
		if r.isUp() {
			t.connection(ctx, r, 1+random.IntN(most), random)
		}
		waiting.For(ctx, time.Duration(random.Int64N(int64(pause))))
	}
}

// connection sends up to n requests over one connection, for as long as it is open.
func (t *traffic) connection(ctx context.Context, r *router, n int, random *rand.Rand) {
	c, err := platformtest.DialWire(r.callers)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for i := range n {
		if ctx.Err() != nil {
			return
		}
		q := t.add(r, i > 0, random)
		if q.kind == "call" && random.IntN(pipelinedEvery) == 0 {
			t.pipelined(q, c, reader, random)
			return
		}
		q.exchange(c, reader)
		if !q.answer.Whole || q.answer.Close || q.last.IsZero() {
			return
		}
		if random.IntN(2) == 0 {
			waiting.For(ctx, time.Duration(random.Int64N(int64(idleMost))))
		}
	}
}

func (t *traffic) add(r *router, kept bool, random *rand.Rand) *request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	q := drawRequest(fmt.Sprintf("q-%d", t.next), r, random)
	q.kept = kept
	t.list = append(t.list, q)
	return q
}

// exchange sends q and reads its answer, which may come before all of q is sent.
func (q *request) exchange(c net.Conn, reader *bufio.Reader) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		q.send(c)
	}()
	q.receive(reader)
	if !q.answer.Whole {
		_ = c.Close() // ends the sending
	}
	<-sent
}

// pipelined sends a second request before the first one has its answer.
func (t *traffic) pipelined(first *request, c net.Conn, reader *bufio.Reader, random *rand.Rand) {
	first.send(c)
	second := t.add(first.router, true, random)
	second.pipelined = true
	time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		second.send(c)
	}()
	first.receive(reader)
	if first.answer.Whole {
		second.receive(reader)
	} else {
		second.to = first.to
	}
	_ = c.Close()
	<-sent
}

// press opens connections to a router that leaves, until it is gone: some at the moment of the signal,
// others at any time.
func (t *traffic) press(ctx context.Context, r *router, at time.Time, random *rand.Rand) {
	var all sync.WaitGroup
	for range atSignal {
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		all.Go(func() {
			waiting.For(ctx, time.Until(at.Add(time.Duration(own.IntN(40)-20)*time.Millisecond)))
			t.connection(ctx, r, 1+own.IntN(most), own)
		})
	}
	for !r.process.Ended() && waiting.For(ctx, pressEvery) {
		own := rand.New(rand.NewPCG(random.Uint64(), 2))
		all.Go(func() { t.connection(ctx, r, 1+own.IntN(most), own) })
	}
	all.Wait()
}

const (
	// atSignal is the number of connections that are opened as the signal to stop comes.
	atSignal = 12
	// pressEvery is the time between two connections to a router that leaves.
	pressEvery = 60 * time.Millisecond
)
