package affinity

import (
	"context"
	"sync"
	"time"
)

// storedRecords is what is known of the records in the store.
type storedRecords struct {
	life *streamLife

	mu sync.Mutex
	// records are those that were read, the last of them at readAt.
	records map[Key]storedRecord
	readAt  time.Time
	// tried is closed when the first try to read them has ended; nil where the store keeps none. read says that one
	// has succeeded.
	tried chan struct{}
	read  bool
}

// storedRecord is a record that was this old when it was read.
type storedRecord struct {
	version VersionID
	age     time.Duration
}

// add adds a record that was read at now. A key that is on record under two versions finds none.
func (s *storedRecords) add(r Record, age time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = make(map[Key]storedRecord)
	}
	s.readAt = now
	known, found := s.records[r.Key]
	switch {
	case found && known.version != r.Version:
		s.records[r.Key] = storedRecord{version: unknownVersion, age: min(age, known.age)}
	case found:
		s.records[r.Key] = storedRecord{version: r.Version, age: min(age, known.age)}
	case len(s.records) < maxRecords:
		s.records[r.Key] = storedRecord{version: r.Version, age: age}
	}
}

// lookup returns the version that is on record for a key. How old a record may be follows from the configuration,
// which a router reads at the same time as the records.
func (s *storedRecords) lookup(k Key, now time.Time) (VersionID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.over(now.Sub(s.readAt)) {
		s.records = nil // streams that went on since then are on record again
	}
	r, found := s.records[k]
	if !found || s.life.over(r.age) {
		return unknownVersion, false
	}
	return r.version, true
}

// size returns the number of records.
func (s *storedRecords) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// RequireRecords makes lookups wait for the records in the store, which are to be read once.
func (t *Tracker) RequireRecords() {
	t.stored.mu.Lock()
	defer t.stored.mu.Unlock()
	t.stored.tried = make(chan struct{})
}

// RecordsTried records that a try to read the records in the store has ended, and whether it succeeded.
func (t *Tracker) RecordsTried(read bool) {
	t.stored.mu.Lock()
	defer t.stored.mu.Unlock()
	t.stored.read = t.stored.read || read
	select {
	case <-t.stored.tried:
	default:
		close(t.stored.tried)
	}
}

// RecordsUnread reports whether the store may hold records that this router hasn't read yet.
func (t *Tracker) RecordsUnread() bool {
	t.stored.mu.Lock()
	defer t.stored.mu.Unlock()
	return t.stored.tried != nil && !t.stored.read
}

// recordsTried reports whether a first try to read the records has ended.
func (t *Tracker) recordsTried() bool {
	t.stored.mu.Lock()
	defer t.stored.mu.Unlock()
	select {
	case <-t.stored.tried:
		return true
	default:
		return t.stored.tried == nil
	}
}

// awaitRecords waits until a first try to read the records has ended; false if ctx ends before.
func (t *Tracker) awaitRecords(ctx context.Context) bool {
	t.stored.mu.Lock()
	tried := t.stored.tried
	t.stored.mu.Unlock()
	if tried == nil {
		return true
	}
	select {
	case <-tried:
		return true
	case <-ctx.Done():
		return false
	}
}

// MergeBatch takes over a row of records that rd read, and returns their number. Those of streams that can't be
// resumed any more are left out, once it is known which these are.
func (t *Tracker) MergeBatch(value []byte, rd Reading, now time.Time) (int, error) {
	b, err := decodeBatch(value, rd)
	if err != nil {
		return 0, err
	}
	t.learnLife()
	age := b.age(rd)
	if t.life.over(age) {
		return 0, nil
	}
	list := b.records()
	for _, r := range list {
		t.stored.add(r, age, now)
	}
	return len(list), nil
}

// recorded returns the version that is on record for a key. A key that is on record under two versions has none.
func (t *Tracker) recorded(k Key, now time.Time) (version VersionID, source Source, found bool) {
	t.learnLife()
	for _, one := range []struct {
		records interface {
			lookup(k Key, now time.Time) (VersionID, bool)
		}
		source Source
	}{{&t.own, OwnRecord}, {&t.others, OthersRecord}, {&t.stored, StoredRecord}} {
		v, ok := one.records.lookup(k, now)
		switch {
		case !ok:
		case !found:
			version, source, found = v, one.source, true
		case v != version:
			return unknownVersion, one.source, true
		}
	}
	return version, source, found
}

// keep makes a record wait for being written. The tracker is locked.
func (t *Tracker) keep(r Record) {
	if !t.outbox.add(r) {
		return
	}
	select {
	case t.unkept <- struct{}{}:
	default:
	}
}

// Unkept is signalled when a record waits for being written that came since the last call of TakeUnkept.
func (t *Tracker) Unkept() <-chan struct{} { return t.unkept }

// TakeUnkept returns the records that are to be written to the store and aren't yet, the oldest first: those of
// services that have had several versions lately. A router that isn't a writer has none. Once it becomes one,
// or a service has several versions, all records that it knows follow.
func (t *Tracker) TakeUnkept(writer bool, now time.Time) []Record {
	if !writer {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.outbox = outbox{lost: t.outbox.lost}
		return nil
	}
	var earlier []Record
	for _, version := range t.newlyKept(now) {
		earlier = append(earlier, t.others.all(version, now)...)
		earlier = append(earlier, t.own.all(version, now)...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox.prepend(earlier)
	list := t.outbox.pending
	t.outbox.pending = nil
	return list
}

// newlyKept updates the versions whose records are written, and returns those that are new.
func (t *Tracker) newlyKept(now time.Time) []VersionID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.outbox.keeping) == 0 && !t.history.several(now) {
		return nil
	}
	keeping := make(map[VersionID]bool)
	var added []VersionID
	for version, several := range t.history.recent(now) {
		if !several {
			continue
		}
		keeping[version] = true
		if !t.outbox.keeping[version] {
			added = append(added, version)
		}
	}
	t.outbox.keeping = keeping
	return added
}

// ReturnUnkept takes records back that couldn't be written.
func (t *Tracker) ReturnUnkept(list []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox.prepend(list)
}

// KeepAgain makes all known records be written again: the store may have lost them.
func (t *Tracker) KeepAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox = outbox{lost: t.outbox.lost}
}

// LostRecords returns the number of records that were never written, as too many waited.
func (t *Tracker) LostRecords() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outbox.lost
}

// RowLife is how long a row of records is kept in the store, as far as that is known.
func (t *Tracker) RowLife() time.Duration {
	t.learnLife()
	return t.life.window()
}

// KnowsLife reports whether it is known how long streams may be resumed: there has been a configuration.
func (t *Tracker) KnowsLife() bool {
	t.learnLife()
	return t.life.known.Load()
}
