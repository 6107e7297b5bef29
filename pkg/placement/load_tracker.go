package placement

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Ledger tracks the load of this router's requests in flight and the loads reported by other
// routers, by instance life.
type Ledger struct {
	mu     sync.Mutex
	own    map[upstream.Life]*Load
	others map[upstream.Life]Load
	// longShares tracks by life how much of the time a long prompt was prefilled.
	longShares map[upstream.Life]*longPromptShare
}

// NewLedger returns a Ledger without any load.
func NewLedger() *Ledger {
	return &Ledger{own: make(map[upstream.Life]*Load), others: make(map[upstream.Life]Load), longShares: make(map[upstream.Life]*longPromptShare)}
}

// Begin counts a request that is about to be sent to an instance in its present life.
func (l *Ledger) Begin(life upstream.Life, w Work) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.own[life]
	if load == nil {
		load = new(Load)
		l.own[life] = load
	}
	e := &Entry{ledger: l, life: life, prefillTokens: w.Unread, kvTokens: w.Memory(), pauseWeight: w.Fragile, longPrompts: boolToInt(w.Long)}
	load.Running++
	load.Fragile += e.pauseWeight
	load.Long += e.longPrompts
	load.Unread += e.prefillTokens
	load.Memory += e.kvTokens
	return e
}

// boolToInt is 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Of returns the load of an instance's life over all routers. Requests that were sent to an earlier
// life don't count, whichever router sent them and however late it reports them.
func (l *Ledger) Of(life upstream.Life) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.others[life]
	if own := l.own[life]; own != nil {
		total = total.plus(*own)
	}
	return total
}

// Fill sets the loads of candidates to those over all routers, as of one moment.
func (l *Ledger) Fill(candidates []Candidate, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range candidates {
		c := &candidates[i]
		life := c.Instance.Life()
		c.Load = l.others[life]
		if own := l.own[life]; own != nil {
			c.Load = c.Load.plus(*own)
		}
		c.LongShare = l.updateLongShare(life, c.Load.Long > 0, now)
	}
}

func (l *Ledger) updateLongShare(life upstream.Life, active bool, now time.Time) float64 {
	s := l.longShares[life]
	if s == nil {
		s = &longPromptShare{updatedAt: now}
		l.longShares[life] = s
	}
	s.observe(active, now)
	return s.share
}

// Prune removes the state of lives that aren't in set.
func (l *Ledger) Prune(set *upstream.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for life := range l.longShares {
		if !set.Lives(life) {
			delete(l.longShares, life)
		}
	}
}

// Own returns the load of this router's requests, by life.
func (l *Ledger) Own() map[upstream.Life]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[upstream.Life]Load, len(l.own))
	for life, load := range l.own {
		own[life] = *load
	}
	return own
}

// SetOthers replaces the load that the other routers reported.
func (l *Ledger) SetOthers(others map[upstream.Life]Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = others
}
