package affinity

import (
	"slices"
	"sync"
	"time"
)

const (
	// generations is the number of maps that a ledger keeps. It drops the oldest one at a time, so a
	// record lives for streamLife and up to half as long again, and nothing is searched for old ones.
	generations = 3
	// maxRecords bounds the records of one generation.
	maxRecords = 200_000
)

// ledger keeps records for the life of streams.
type ledger struct {
	life *streamLife
	mu   sync.Mutex
	// records holds the generations, the newest first.
	records   [generations]map[Key]VersionID
	rotatedAt time.Time
}

// add adds a record. Two streams that began under one key at different versions can't be told apart,
// so the key then finds no version.
func (l *ledger) add(r Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	known, found := l.find(r.Key)
	if found && known != r.Version {
		r.Version = unknownVersion
	}
	if len(l.records[0]) < maxRecords {
		l.records[0][r.Key] = r.Version
	}
}

// lookup returns the version that is on record for a key.
func (l *ledger) lookup(k Key, now time.Time) (VersionID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	return l.find(k)
}

func (l *ledger) find(k Key) (VersionID, bool) {
	for _, generation := range l.records {
		if s, ok := generation[k]; ok {
			return s, true
		}
	}
	return unknownVersion, false
}

// all returns the records of a version, those that were added last at the end.
func (l *ledger) all(s VersionID, now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	var list []Record
	for _, generation := range slices.Backward(l.records[:]) {
		for k, software := range generation {
			if software == s {
				list = append(list, Record{Key: k, Version: software})
			}
		}
	}
	return list
}

// size returns the number of records.
func (l *ledger) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, generation := range l.records {
		n += len(generation)
	}
	return n
}

// rotate drops the generations that are too old.
func (l *ledger) rotate(now time.Time) {
	if l.records[0] == nil {
		l.records[0], l.rotatedAt = make(map[Key]VersionID), now
	}
	if !l.life.known.Load() {
		l.rotatedAt = now
		return
	}
	generationAge := l.life.get() / (generations - 1)
	for range generations {
		if now.Sub(l.rotatedAt) < generationAge {
			return
		}
		copy(l.records[1:], l.records[:generations-1])
		l.records[0] = make(map[Key]VersionID)
		l.rotatedAt = l.rotatedAt.Add(generationAge)
	}
	l.rotatedAt = now // nothing was added for longer than all generations last
}
