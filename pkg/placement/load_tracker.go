package placement

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Ledger counts the work in progress of this router, and keeps what others told, each by the
// life of the instance that does it.
type Ledger struct {
	mu     sync.Mutex
	own    map[upstream.Life]*Load
	others map[upstream.Life]Load
	// reads is how much of the time a long prompt was read, by life.
	reads map[upstream.Life]*longShare
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: make(map[upstream.Life]*Load), others: make(map[upstream.Life]Load), reads: make(map[upstream.Life]*longShare)}
}

// Begin counts work that is about to be sent to an instance in its present life.
func (l *Ledger) Begin(life upstream.Life, w Work) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.own[life]
	if load == nil {
		load = new(Load)
		l.own[life] = load
	}
	e := &Entry{ledger: l, life: life, unread: w.Unread, memory: w.Memory(), fragile: w.Fragile, long: count(w.Long)}
	load.Running++
	load.Fragile += e.fragile
	load.Long += e.long
	load.Unread += e.unread
	load.Memory += e.memory
	return e
}

// count is 1 for what is counted.
func count(counted bool) int {
	if counted {
		return 1
	}
	return 0
}

// Of gives the load of an instance's life over all routers. Work that was sent to an earlier
// life, by whichever router and however late it is told, is none of its load.
func (l *Ledger) Of(life upstream.Life) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.others[life]
	if own := l.own[life]; own != nil {
		total = total.plus(*own)
	}
	return total
}

// Fill sets the loads of candidates to those over all routers, all as of one moment.
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
		c.LongShare = l.longShare(life, c.Load.Long > 0, now)
	}
}

func (l *Ledger) longShare(life upstream.Life, reads bool, now time.Time) float64 {
	s := l.reads[life]
	if s == nil {
		s = &longShare{at: now}
		l.reads[life] = s
	}
	s.observe(reads, now)
	return s.share
}

// Prune drops what is known of lives that set doesn't have.
func (l *Ledger) Prune(set *upstream.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for life := range l.reads {
		if !set.Lives(life) {
			delete(l.reads, life)
		}
	}
}

// Own gives this router's work, by life.
func (l *Ledger) Own() map[upstream.Life]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[upstream.Life]Load, len(l.own))
	for life, load := range l.own {
		own[life] = *load
	}
	return own
}

// SetOthers replaces what the other routers have in progress.
func (l *Ledger) SetOthers(others map[upstream.Life]Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = others
}
