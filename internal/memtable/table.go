// Package memtable is a table service in memory for tests, with the faults of the real
// one: outages, and lost answers of writes that took effect.
package memtable

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Table implements platform.Table. Make one with New.
type Table struct {
	mu    sync.Mutex
	rows  map[string]platform.Row
	reads int
	down  bool
	lose  func() bool
	hook  func()
}

// New returns an empty table that is up.
func New() *Table { return &Table{rows: make(map[string]platform.Row)} }

// Copy returns a table with the same rows, up and without faults.
func (t *Table) Copy() *Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Table{rows: maps.Clone(t.rows)}
}

// SetDown starts or ends an outage, in which everything is refused.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// Lose is asked for each commit that took effect whether its answer is lost; nil loses
// none.
func (t *Table) Lose(lose func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = lose
}

// LoseNextAndGoDown loses the answer of the next commit that takes effect, and starts
// an outage with it, so that the write can't be read back.
func (t *Table) LoseNextAndGoDown() {
	t.Lose(func() bool {
		t.lose, t.down = nil, true
		return true
	})
}

// OnCommit runs before anything of a commit is checked; it must not use the table.
func (t *Table) OnCommit(hook func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hook = hook
}

// Len is the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Reads is the number of calls of Get.
func (t *Table) Reads() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down || ctx.Err() != nil {
		return platform.Row{}, platform.ErrRefused
	}
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// List implements platform.Table.
func (t *Table) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, platform.ErrRefused
	}
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Commit implements platform.Table.
func (t *Table) Commit(_ context.Context, txn platform.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hook != nil {
		t.hook()
	}
	if t.down {
		return platform.ErrRefused
	}
	for _, g := range txn.Guards {
		if t.rows[g.Key].Version != g.Version {
			return platform.ErrConflict
		}
	}
	for _, p := range txn.Puts {
		t.put(p)
	}
	if t.lose != nil && t.lose() {
		return platform.ErrUnknown
	}
	return nil
}

func (t *Table) put(p platform.Put) {
	if p.Delete {
		delete(t.rows, p.Key)
		return
	}
	t.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: t.rows[p.Key].Version + 1}
}
