package placement

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// LoadTracker tracks the load of this router's requests in flight and the loads reported by other
// routers, by instance life.
type LoadTracker struct {
	mu     sync.Mutex
	own    map[upstream.Life]*Load
	others map[upstream.Life]Load
	// longShares tracks by life how much of the time a long prompt was prefilled.
	longShares map[upstream.Life]*longPromptShare
}

// NewLoadTracker returns a LoadTracker without any load.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{own: make(map[upstream.Life]*Load), others: make(map[upstream.Life]Load), longShares: make(map[upstream.Life]*longPromptShare)}
}

// Begin counts a request that is about to be sent to an instance in its present life.
func (t *LoadTracker) Begin(life upstream.Life, w Work) *InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.own[life]
	if load == nil {
		load = new(Load)
		t.own[life] = load
	}
	f := &InFlight{tracker: t, life: life, prefillTokens: w.PrefillTokens, kvTokens: w.KVTokens(), pauseWeight: w.PauseWeight, longPrompts: boolToInt(w.LongPrompt)}
	load.Running++
	load.PauseWeight += f.pauseWeight
	load.LongPrompts += f.longPrompts
	load.PrefillTokens += f.prefillTokens
	load.KVTokens += f.kvTokens
	return f
}

// boolToInt is 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Load returns the load of an instance's life over all routers. Requests that were sent to an
// earlier life don't count, whichever router sent them and however late it reports them.
func (t *LoadTracker) Load(life upstream.Life) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := t.others[life]
	if own := t.own[life]; own != nil {
		total = total.plus(*own)
	}
	return total
}

// FillLoads sets the loads of candidates to those over all routers, as of one moment.
func (t *LoadTracker) FillLoads(candidates []Candidate, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range candidates {
		c := &candidates[i]
		life := c.Instance.Life()
		c.Load = t.others[life]
		if own := t.own[life]; own != nil {
			c.Load = c.Load.plus(*own)
		}
		c.LongPromptShare = t.updateLongShare(life, c.Load.LongPrompts > 0, now)
	}
}

func (t *LoadTracker) updateLongShare(life upstream.Life, active bool, now time.Time) float64 {
	s := t.longShares[life]
	if s == nil {
		s = &longPromptShare{updatedAt: now}
		t.longShares[life] = s
	}
	s.observe(active, now)
	return s.share
}

// Prune removes the state of lives that aren't in set.
func (t *LoadTracker) Prune(set *upstream.Set) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for life := range t.longShares {
		if !set.IsCurrent(life) {
			delete(t.longShares, life)
		}
	}
}

// Own returns the load of this router's requests, by life.
func (t *LoadTracker) Own() map[upstream.Life]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[upstream.Life]Load, len(t.own))
	for life, load := range t.own {
		own[life] = *load
	}
	return own
}

// SetOthers replaces the load that the other routers reported.
func (t *LoadTracker) SetOthers(others map[upstream.Life]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others = others
}
