package stops

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// operate plays the planned work on one router: it is told of other settings, stopped and started again.
func (w *world) operate(ctx context.Context, r *router, random *rand.Rand) {
	for waiting.For(ctx, time.Duration(500+random.IntN(1500))*time.Millisecond) {
		switch random.IntN(4) {
		case 0:
			w.note("%s: reloads in a burst", r.name)
			w.reload(ctx, r, 5+random.IntN(15), 3*time.Millisecond)
		case 1:
			w.note("configurations in a row")
			w.declare(ctx, 10, 50*time.Millisecond)
		default:
			w.stop(ctx, r, random)
		}
	}
}

// reload announces settings n times, every other time after they were changed.
func (w *world) reload(ctx context.Context, r *router, n int, every time.Duration) {
	for i := range n {
		if i%2 == 0 {
			_ = r.write() // the settings before hold
		}
		_ = r.process.Hangup() // it may have ended
		waiting.For(ctx, every)
	}
}

// stop tells a router to stop beside other planned work, and starts it again.
func (w *world) stop(ctx context.Context, r *router, random *rand.Rand) {
	before, again := time.Duration(random.IntN(6))*time.Millisecond, time.Duration(1+random.IntN(7000))*time.Millisecond
	if random.IntN(3) == 0 {
		again = time.Duration(random.IntN(5)) * time.Millisecond
	}
	kind := random.IntN(4)
	w.note("%s: stop (kind %d), a second signal after %v", r.name, kind, again)
	var all sync.WaitGroup
	own := rand.New(rand.NewPCG(random.Uint64(), 3))
	at := time.Now().Add(50 * time.Millisecond)
	all.Go(func() { w.traffic.press(w.busy, r, at, own) })
	waiting.For(ctx, time.Until(at))
	switch kind {
	case 0:
		w.reload(ctx, r, 1, before)
	case 1:
		all.Go(func() { w.declare(ctx, 5, 20*time.Millisecond) })
	case 2:
		all.Go(func() { w.reload(ctx, r, 10, 100*time.Millisecond) })
	}
	r.terminate()
	all.Go(func() {
		waiting.Until(ctx, r.process.Gone(), again)
		r.terminate()
	})
	if gone := w.awaitEnd(r); !gone {
		w.killed.Add(1)
		r.noteKill()
		w.note("%s: killed at the end of the grace", r.name)
	}
	r.setUp(false)
	all.Wait()
	w.startAgain(r, random)
}

// awaitEnd kills the process when its grace is over, and reports whether it ended by itself.
func (w *world) awaitEnd(r *router) bool {
	select {
	case <-r.process.Gone():
		return true
	case <-time.After(time.Until(r.stopBefore(time.Now()).Add(grace))):
		_ = r.process.Kill() // it may have ended just now
		return false
	}
}

// startAgain starts a router, and tells it of settings in its first moments.
func (w *world) startAgain(r *router, random *rand.Rand) {
	for {
		if err := r.start(w.options); err != nil {
			w.note("%s: not started: %v", r.name, err)
			return
		}
		time.Sleep(time.Duration(random.IntN(6000)) * time.Microsecond)
		_ = r.process.Hangup() // see below
		if w.awaitReady(r) {
			r.setUp(true)
			return
		}
		w.endedAtStart.Add(1)
	}
}

// awaitReady reports whether a router that starts becomes ready; it hasn't where it has ended.
func (w *world) awaitReady(r *router) bool {
	for began := time.Now(); time.Since(began) < startWait && !r.process.Ended(); time.Sleep(pollEvery) {
		if r.ready() {
			return true
		}
	}
	return false
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%6.2f s ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}
