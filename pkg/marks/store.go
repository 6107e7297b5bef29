// Package marks tracks which upstreams are leaving.
//
// The platform's host list is the source of these marks. Routers that read the list pass the marks
// on in their heartbeats and reports, so that reads of the list do not grow with the fleet. The
// mark with the highest generation wins, so marks may arrive late, more than once or in any order.
package marks

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// recentWindow is how long a changed mark is passed on. Every member receives it within a few
// heartbeats; a member that was cut off for longer reads the host list itself.
const recentWindow = 2 * time.Minute

// maxMarksPerMessage bounds the marks in one message. When all upstreams of a zone leave at once,
// their marks are spread over several heartbeats.
const maxMarksPerMessage = 64

type entry struct {
	mark      wire.UpstreamMark
	changedAt time.Time
}

// Store holds the newest mark of each upstream. It is safe for concurrent use.
type Store struct {
	onChange func(wire.UpstreamMark)

	mu      sync.Mutex
	entries map[string]entry
}

// NewStore returns an empty Store. It calls onChange, without holding a lock, for each mark that is
// newer than the known one.
func NewStore(onChange func(wire.UpstreamMark)) *Store {
	return &Store{onChange: onChange, entries: make(map[string]entry)}
}

// Leaving reports whether an upstream is marked as leaving.
func (s *Store) Leaving(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[upstream].mark.Leaving
}

// RecentMarks returns marks that changed recently, at most as many as fit in one message.
func (s *Store) RecentMarks() []wire.UpstreamMark {
	return s.recent(time.Now())
}

func (s *Store) recent(now time.Time) []wire.UpstreamMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []wire.UpstreamMark
	for _, e := range s.entries {
		if now.Sub(e.changedAt) < recentWindow && len(list) < maxMarksPerMessage {
			list = append(list, e.mark)
		}
	}
	return list
}

// MergeMarks merges marks received from a peer.
func (s *Store) MergeMarks(_ wire.RouterID, marks []wire.UpstreamMark) {
	s.merge(time.Now(), marks)
}

// ApplyHostList merges the marks of a host list. An upstream that the list no longer names keeps its last
// mark: the list lags behind, so a missing entry says nothing.
func (s *Store) ApplyHostList(list platform.HostList) {
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
		if s.update(now, m) {
			s.onChange(m)
		}
	}
}

// update reports whether m is newer than the known mark, and stores it then.
func (s *Store) update(now time.Time, m wire.UpstreamMark) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[m.Upstream]
	if ok && known.mark.Generation >= m.Generation {
		return false
	}
	s.entries[m.Upstream] = entry{mark: m, changedAt: now}
	return true
}
