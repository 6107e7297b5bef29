// Package platformtest holds an in-memory table with scripted faults, for tests.
package platformtest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// Table implements platform.Table in memory. The zero value is ready.
type Table struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision uint64
	fault    func(platform.Txn) Fault
	down     bool
	delay    time.Duration
	late     []platform.Txn
	commits  int
	reads    int
}

var _ platform.Table = (*Table)(nil)

// SetFault makes f choose the fault of each commit; nil ends all faults. f may block
// to hold a commit up.
func (t *Table) SetFault(f func(platform.Txn) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// SetDown starts or ends an outage: everything is refused.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// SetDelay makes each operation take d.
func (t *Table) SetDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = d
}

// DeliverLate lets the commits that FaultLate held back reach the table now, and
// returns how many of them took effect.
func (t *Table) DeliverLate() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := 0
	for _, txn := range t.late {
		if t.apply(txn) == nil {
			applied++
		}
	}
	t.late = nil
	return applied
}

// Counts returns the commits asked for and the reads done so far.
func (t *Table) Counts() (commits, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits, t.reads
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.wait(ctx); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return platform.Row{}, platform.ErrRefused
	}
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// List implements platform.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return nil, platform.ErrRefused
	}
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) error {
	if err := t.wait(ctx); err != nil {
		return err
	}
	fault := t.chooseFault(txn)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch fault {
	case FaultRefuse:
		return platform.ErrRefused
	case FaultLost:
		return platform.ErrUnknown
	case FaultUnheard, FaultUnheardThenDown:
		if err := t.apply(txn); err != nil {
			return err
		}
		t.down = t.down || fault == FaultUnheardThenDown
		return platform.ErrUnknown
	case FaultLate:
		t.late = append(t.late, txn)
		return platform.ErrUnknown
	default:
		return t.apply(txn)
	}
}

func (t *Table) wait(ctx context.Context) error {
	t.mu.Lock()
	delay := t.delay
	t.mu.Unlock()
	if delay == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Table) chooseFault(txn platform.Txn) Fault {
	t.mu.Lock()
	t.commits++
	down, choose := t.down, t.fault
	t.mu.Unlock()
	switch {
	case down:
		return FaultRefuse
	case choose != nil:
		return choose(txn)
	default:
		return FaultNone
	}
}

// apply takes versions from one counter, so that a row that was deleted and written
// again never has a version it had before.
func (t *Table) apply(txn platform.Txn) error {
	for _, g := range txn.Guards {
		if t.rows[g.Key].Version != g.Version {
			return platform.ErrConflict
		}
	}
	if t.rows == nil {
		t.rows = make(map[string]platform.Row)
	}
	for _, p := range txn.Puts {
		if p.Delete {
			delete(t.rows, p.Key)
			continue
		}
		t.revision++
		t.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: t.revision}
	}
	return nil
}
