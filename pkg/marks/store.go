// Package marks remembers which upstreams are leaving.
//
// The platform's host list says so first; routers that read it pass marks on with
// their heartbeats and reports, so that reads of the list don't grow with the fleet.
// Higher generations win, so marks may come late, twice or in any order.
package marks

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// recentFor is how long a changed mark is passed on. Every member hears of it within a
// few heartbeats; a member that was cut off for longer reads the host list itself.
const recentFor = 2 * time.Minute

// maxRecent bounds the marks in one message: a zone's upstreams leaving at once are
// spread over several heartbeats, the newest first.
const maxRecent = 64

type entry struct {
	mark    wire.UpstreamMark
	changed time.Time
}

// Store holds the newest mark of each upstream. It may be used by many goroutines.
type Store struct {
	changed func(wire.UpstreamMark)

	mu      sync.Mutex
	entries map[string]entry
}

// NewStore returns an empty Store. changed is called, without a lock, for each mark
// that is news.
func NewStore(changed func(wire.UpstreamMark)) *Store {
	return &Store{changed: changed, entries: make(map[string]entry)}
}

// Leaving says whether an upstream is marked as leaving.
func (s *Store) Leaving(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[upstream].mark.Leaving
}

// RecentMarks gives the marks that changed lately, few enough for one message.
func (s *Store) RecentMarks() []wire.UpstreamMark {
	return s.recent(time.Now())
}

func (s *Store) recent(now time.Time) []wire.UpstreamMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []wire.UpstreamMark
	for _, e := range s.entries {
		if now.Sub(e.changed) < recentFor && len(list) < maxRecent {
			list = append(list, e.mark)
		}
	}
	return list
}

// MergeMarks takes marks from a peer.
func (s *Store) MergeMarks(_ wire.RouterID, marks []wire.UpstreamMark) {
	s.merge(time.Now(), marks)
}

// Read takes a host list. An upstream that the list doesn't name any more keeps its
// last mark: the list lags, and its silence says nothing.
func (s *Store) Read(list platform.HostList) {
	var marks []wire.UpstreamMark
	for _, h := range list.Hosts {
		if h.Kind != platform.HostUpstream {
			continue
		}
		leaving := h.State == platform.HostLeaving
		if leaving == s.Leaving(h.Name) {
			continue
		}
		marks = append(marks, wire.UpstreamMark{Upstream: h.Name, Generation: list.Generation, Leaving: leaving})
	}
	s.merge(time.Now(), marks)
}

func (s *Store) merge(now time.Time, marks []wire.UpstreamMark) {
	for _, m := range marks {
		if s.take(now, m) {
			s.changed(m)
		}
	}
}

func (s *Store) take(now time.Time, m wire.UpstreamMark) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[m.Upstream]
	if ok && known.mark.Generation >= m.Generation {
		return false
	}
	s.entries[m.Upstream] = entry{mark: m, changed: now}
	return true
}
