package stops

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// lateWorkers can run all requests of a late run at once.
	lateWorkers = 12
	// calmFor is the time in which a router serves requests as those that come late, before it is told to stop.
	calmFor = 6 * time.Second
	// lateEvery is the time between two requests.
	lateEvery = 40 * time.Millisecond
	// largeAnswer is the size, in bytes, of an answer that routers don't buffer whole.
	largeAnswer = 400_000
)

// Late is a run with one router and one stop.
func Late(bin, dir string, seed uint64) Options {
	return Options{Bin: bin, Dir: dir, Seed: seed, Routers: 1, Workers: lateWorkers}
}

// RunLate tells a router to stop, in calm, and sends it requests until it is gone: calls that may not be repeated,
// answers whose head comes at once and whose body is slow, streams without a prompt, slow bodies. It finds each one
// that is read and neither served nor refused as not run. Requests that may be cut aren't judged.
func RunLate(ctx context.Context, o Options) (Verdict, error) {
	w, err := open(o)
	if err != nil {
		return Verdict{}, errors.Trace(err)
	}
	defer w.close()
	watched, unwatch := context.WithCancel(ctx)
	defer unwatch()
	go w.stalls.watch(watched)
	r, random := w.routers[0], rand.New(rand.NewPCG(o.Seed, 4))
	w.sendLate(ctx, time.Now().Add(calmFor), r, random)
	r.terminate()
	w.sendLate(ctx, time.Now().Add(grace), r, random)
	if !r.process.Ended() && !w.awaitEnd(r) {
		w.killed.Add(1)
		r.noteKill()
	}
	v := w.check()
	for _, q := range w.traffic.list {
		w.checkLate(&v, q)
	}
	return v, nil
}

// sendLate sends requests, each on a new connection, until the given time or until the router is gone, and waits for
// their ends.
func (w *world) sendLate(ctx context.Context, until time.Time, r *router, random *rand.Rand) {
	var all sync.WaitGroup
	for !r.process.Ended() && time.Now().Before(until) && waiting.For(ctx, lateEvery) {
		q := w.traffic.addLate(r, random)
		all.Go(func() {
			c, err := platformtest.DialWire(r.callers)
			if err != nil {
				return
			}
			defer c.Close()
			q.exchange(c, bufio.NewReader(c))
		})
	}
	all.Wait()
}

func (t *traffic) addLate(r *router, random *rand.Rand) *request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	q := drawLate(fmt.Sprintf("q-%d", t.next), r, random)
	t.list = append(t.list, q)
	return q
}

// drawLate draws a request whose length nothing tells beforehand.
func drawLate(id string, r *router, random *rand.Rand) *request {
	q := &request{router: r, WireRequest: platformtest.WireRequest{ID: id, Key: key, Deadline: callerWait, Body: random.IntN(400)}}
	ms := 500 + random.IntN(4500)
	switch random.IntN(4) {
	case 0:
		q.kind, q.Path = "unsafe call", fmt.Sprintf("%s?ms=%d", platformtest.PathOnce, ms)
	case 1:
		q.kind, q.Path = "slow answer", fmt.Sprintf("%s?ms=%d&size=%d", platformtest.PathCall, ms, largeAnswer)
	case 2:
		q.kind, q.Path = "stream without a prompt", fmt.Sprintf("%s?ms=%d&events=%d", platformtest.PathStreamOnce, ms, 2+random.IntN(20))
	default:
		q.kind, q.Path = "slow body", fmt.Sprintf("%s?ms=%d", platformtest.PathMoved, random.IntN(500))
		q.Body, q.body = 500+random.IntN(60_000), time.Duration(200+random.IntN(6000))*time.Millisecond
	}
	return q
}

// checkLate finds a request that came late, was passed on and got another answer than its engine's.
func (w *world) checkLate(v *Verdict, q *request) {
	stop := q.router.stopBefore(q.to)
	if q.last.IsZero() || stop.IsZero() || !q.last.After(stop.Add(early)) || !q.answer.Whole || q.answer.Status == http.StatusOK || q.answer.Promised {
		return
	}
	if runs := w.runs(q.ID); len(ran(runs)) > 0 {
		v.find(w, q, "passed on, and answered with %d, %d ms after the signal to stop (sent %d ms after it)", q.answer.Status, q.to.Sub(stop).Milliseconds(), q.last.Sub(stop).Milliseconds())
	}
}
