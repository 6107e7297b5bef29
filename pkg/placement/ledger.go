package placement

import (
	"sync"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Ledger counts the work in progress of this router, and keeps what others told.
type Ledger struct {
	mu     sync.Mutex
	own    map[upstream.ID]*Load
	others map[upstream.ID]Load
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{own: make(map[upstream.ID]*Load), others: make(map[upstream.ID]Load)}
}

// Begin counts work that is about to be sent to an instance.
func (l *Ledger) Begin(id upstream.ID, w Work) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.own[id]
	if load == nil {
		load = new(Load)
		l.own[id] = load
	}
	e := &Entry{ledger: l, id: id, unread: w.Unread, memory: w.Memory()}
	load.Running++
	load.Unread += e.unread
	load.Memory += e.memory
	return e
}

// Of gives the load of an instance over all routers.
func (l *Ledger) Of(id upstream.ID) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.others[id]
	if own := l.own[id]; own != nil {
		total = total.plus(*own)
	}
	return total
}

// Fill sets the loads of candidates to those over all routers, all as of one moment.
func (l *Ledger) Fill(candidates []Candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range candidates {
		c := &candidates[i]
		c.Load = l.others[c.Instance.ID]
		if own := l.own[c.Instance.ID]; own != nil {
			c.Load = c.Load.plus(*own)
		}
	}
}

// Own gives this router's work, by instance.
func (l *Ledger) Own() map[upstream.ID]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[upstream.ID]Load, len(l.own))
	for id, load := range l.own {
		own[id] = *load
	}
	return own
}

// SetOthers replaces what the other routers have in progress.
func (l *Ledger) SetOthers(others map[upstream.ID]Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = others
}
