package platformtest

import (
	"maps"
	"sync"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Lose asks lose for each commit whether its answer is lost though it is written; one
// call at a time. It replaces SetFault.
func (t *Table) Lose(lose func() bool) {
	var mu sync.Mutex
	t.SetFault(func(platform.Txn) Fault {
		mu.Lock()
		defer mu.Unlock()
		if lose() {
			return FaultUnheard
		}
		return FaultNone
	})
}

// LoseNextAndGoDown loses the answer of the next commit, which is written, and starts an
// outage with it, so that the write can't be read back.
func (t *Table) LoseNextAndGoDown() {
	t.SetFault(func(platform.Txn) Fault {
		t.SetFault(nil)
		return FaultUnheardThenDown
	})
}

// Copy returns a table with the same rows, up and without faults.
func (t *Table) Copy() *Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Table{rows: maps.Clone(t.rows), revision: t.revision}
}

// Len is the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Reads is the number of calls of Get and List so far.
func (t *Table) Reads() int {
	_, reads := t.Counts()
	return reads
}
