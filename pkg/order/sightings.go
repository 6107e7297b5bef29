package order

import (
	"sync"
	"time"
)

// sightings remember since when this router has seen each lease row unchanged, on its
// own clock. That is how a lease of another host lapses without a common clock.
type sightings struct {
	mu   sync.Mutex
	seen map[string]sighting
}

type sighting struct {
	version uint64
	since   time.Time
}

// age returns how long upstream's row has been seen at version.
func (s *sightings) age(now time.Time, upstream string, version uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.seen[upstream]
	if ok && old.version == version {
		return now.Sub(old.since)
	}
	if s.seen == nil {
		s.seen = make(map[string]sighting)
	}
	s.seen[upstream] = sighting{version: version, since: now}
	return 0
}

// forget drops what is known of upstream.
func (s *sightings) forget(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.seen, upstream)
}
