package ctl_test

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/flamingowind/flamingowind/pkg/platform"
)

// fakeTable is a table in memory with the faults of the real one.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	down bool // refuses everything
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeTable) Get(ctx context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || ctx.Err() != nil {
		return platform.Row{}, platform.ErrRefused
	}
	row, ok := f.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrRefused
	}
	var rows []platform.Row
	for k, r := range f.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Commit(_ context.Context, t platform.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrRefused
	}
	for _, g := range t.Guards {
		if f.rows[g.Key].Version != g.Version {
			return platform.ErrConflict
		}
	}
	for _, p := range t.Puts {
		if p.Delete {
			delete(f.rows, p.Key)
			continue
		}
		f.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: f.rows[p.Key].Version + 1}
	}
	return nil
}
