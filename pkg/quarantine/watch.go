package quarantine

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// LostRun is a run that got no complete answer.
type LostRun struct {
	Content   uint64
	Parts     []uint64
	RequestID string
	// At is when the run was lost.
	At time.Time
}

const (
	// watchedFor is how long after a run was lost the end of its upstream counts as a crash under it. An
	// upstream that crashed leaves the list after about 1.5 s.
	watchedFor = 5 * time.Second
	// maxWatched bounds the lost runs that are kept for one upstream.
	maxWatched = 64
)

// Watch keeps lost runs until it is known whether their upstreams have crashed: a connection that broke off,
// or an answer that didn't come in time, may have other causes. It is safe for concurrent use.
type Watch struct {
	mu   sync.Mutex
	runs map[upstream.Life][]LostRun
}

// NewWatch returns an empty Watch.
func NewWatch() *Watch { return &Watch{runs: make(map[upstream.Life][]LostRun)} }

// Add adds a lost run.
func (w *Watch) Add(life upstream.Life, run LostRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := append(w.runs[life], run)
	w.runs[life] = list[max(0, len(list)-maxWatched):]
}

// Count returns the number of upstreams with lost runs.
func (w *Watch) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Crashed returns, and drops, the runs that a life which has crashed lost before.
func (w *Watch) Crashed(life upstream.Life, now time.Time) []LostRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.take(life, now)
}

// Update takes over a new list of upstreams and returns the runs of lives that are gone from it. An
// upstream that drained before has not crashed.
func (w *Watch) Update(set *upstream.Set, now time.Time) map[upstream.Life][]LostRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var crashed map[upstream.Life][]LostRun
	for life, list := range w.runs {
		current := set.Get(life.ID)
		switch {
		case now.Sub(list[len(list)-1].At) >= watchedFor:
			delete(w.runs, life)
		case current == nil || current.State != upstream.Unusable && current.Life() != life:
			if crashed == nil {
				crashed = make(map[upstream.Life][]LostRun)
			}
			crashed[life] = w.take(life, now)
		case current.State == upstream.Draining:
			delete(w.runs, life)
		}
	}
	return crashed
}

func (w *Watch) take(life upstream.Life, now time.Time) []LostRun {
	var recent []LostRun
	for _, run := range w.runs[life] {
		if now.Sub(run.At) < watchedFor {
			recent = append(recent, run)
		}
	}
	delete(w.runs, life)
	return recent
}
