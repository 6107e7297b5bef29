package failtest

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/load"
)

// afterFailure is the time between a request that failed and the next one of the same
// caller: refusals come at once, and would otherwise load the machine for nothing.
const afterFailure = 200 * time.Millisecond

// Traffic is a number of callers that each send one request after the other.
type Traffic struct {
	group sync.WaitGroup
	stop  chan struct{}

	mu      sync.Mutex
	results []load.Result
}

// Traffic starts callers that go on until Stop; next makes the requests of caller i.
func (w *World) Traffic(callers int, next func(i int) load.Request) *Traffic {
	t := &Traffic{stop: make(chan struct{})}
	for i := range callers {
		t.group.Go(func() {
			for !t.stopped() {
				r := w.Send(next(i))
				t.keep(r)
				if !Whole(r) {
					t.pause()
				}
			}
		})
	}
	return t
}

func (t *Traffic) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

func (t *Traffic) pause() {
	timer := time.NewTimer(afterFailure)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.stop:
	}
}

func (t *Traffic) keep(r load.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// Count is the number of results so far for which is holds.
func (t *Traffic) Count(is func(load.Result) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(Filter(t.results, is))
}

// Stop ends the callers after their present requests and returns all results.
func (t *Traffic) Stop() []load.Result {
	close(t.stop)
	t.group.Wait()
	return t.results
}

// Filter returns the results for which is holds.
func Filter(results []load.Result, is func(load.Result) bool) []load.Result {
	var kept []load.Result
	for _, r := range results {
		if is(r) {
			kept = append(kept, r)
		}
	}
	return kept
}
