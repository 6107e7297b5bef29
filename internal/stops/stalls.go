package stops

import (
	"context"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

const (
	stallLook = 10 * time.Millisecond
	stallOver = 100 * time.Millisecond
)

// stalls are times in which this program got no processor: what it measures then is late.
type stalls struct {
	mu   sync.Mutex
	list [][2]time.Time
}

func (s *stalls) watch(ctx context.Context) {
	for last := time.Now(); waiting.For(ctx, stallLook); {
		now := time.Now()
		if now.Sub(last) > stallOver {
			s.mu.Lock()
			s.list = append(s.list, [2]time.Time{last, now})
			s.mu.Unlock()
		}
		last = now
	}
}

// count is their number.
func (s *stalls) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list)
}

// touch reports whether a stall falls between from and to.
func (s *stalls) touch(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if one[0].Before(to) && from.Before(one[1]) {
			return true
		}
	}
	return false
}
