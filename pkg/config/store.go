package config

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/resource"
)

// Defaults of StoreOptions.
const (
	DefaultHistory  = 128
	DefaultAttempts = 256
)

// StoreOptions tune a Store; zero fields take the defaults.
type StoreOptions struct {
	// History is the number of versions that a watch can go back.
	History uint64
	// Attempts bounds the tries of one write against racing ones.
	Attempts int
	// Now stamps log entries for people; time.Now when nil.
	Now func() time.Time
}

// Store reads and writes the configuration in the platform's table. All rows of one
// change are written in one transaction that is guarded by the head row.
type Store struct {
	table platform.Table
	opts  StoreOptions

	mu     sync.Mutex
	latest *resource.Snapshot // the newest one read or written here; spares a read
}

// NewStore returns a store over table.
func NewStore(table platform.Table, opts StoreOptions) *Store {
	if opts.History == 0 {
		opts.History = DefaultHistory
	}
	if opts.Attempts == 0 {
		opts.Attempts = DefaultAttempts
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Store{table: table, opts: opts}
}

// Head reads the head row: one small read. Before the first write it is version 0.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

func (s *Store) head(ctx context.Context) (Head, uint64, error) {
	row, err := s.table.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, errors.Annotate(err, "read configuration head")
	}
	head, err := decodeRow[Head](row)
	return head, row.Version, err
}

// Load reads the newest snapshot.
func (s *Store) Load(ctx context.Context) (*resource.Snapshot, error) {
	snap, _, err := s.load(ctx)
	return snap, err
}

// load also gives the head row's version, for a guard.
func (s *Store) load(ctx context.Context) (*resource.Snapshot, uint64, error) {
	for range s.opts.Attempts {
		head, rowVersion, err := s.head(ctx)
		if err != nil {
			return nil, 0, err
		}
		snap, err := s.At(ctx, head.Version)
		// Pruned between the two reads: the head has moved on by a whole history.
		if errors.Is(err, ErrGone) {
			continue
		}
		return snap, rowVersion, err
	}
	return nil, 0, errors.Annotate(ErrGone, "newest snapshot")
}

// At reads the snapshot of a version, or ErrGone when it was pruned.
func (s *Store) At(ctx context.Context, version uint64) (*resource.Snapshot, error) {
	if version == 0 {
		return &resource.Snapshot{}, nil
	}
	if snap := s.cached(version); snap != nil {
		return snap, nil
	}
	row, err := s.table.Get(ctx, snapshotKey(version))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, errors.Annotatef(ErrGone, "version %d", version)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "read snapshot %d", version)
	}
	snap, err := resource.Decode(row.Value)
	if err != nil {
		return nil, errors.Annotatef(err, "snapshot %d", version)
	}
	if snap.Version != version {
		return nil, errors.Errorf("row of snapshot %d holds version %d", version, snap.Version)
	}
	s.remember(snap)
	return snap, nil
}

func (s *Store) cached(version uint64) *resource.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest != nil && s.latest.Version == version {
		return s.latest
	}
	return nil
}

func (s *Store) remember(snap *resource.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest == nil || snap.Version > s.latest.Version {
		s.latest = snap
	}
}
