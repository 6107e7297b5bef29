package affinity

import (
	"fmt"
	"time"
)

const (
	// simStill is the longest time for which a router stands still, and simFlash that for which an engine of a
	// version is listed that is gone again.
	simStill = 8 * time.Second
	simFlash = 2 * time.Second
)

// runs reports whether a router's process takes its turns.
func (r *simRouter) runs() bool { return r.up && !r.sim.now.Before(r.stillUntil) }

// reaches reports whether what one router sends comes to another, now or once that one runs again.
func (s *sim) reaches(a, b *simRouter) bool {
	return a.runs() && b.up && !s.now.Before(a.cutUntil) && !s.now.Before(b.cutUntil)
}

// flash lists an engine of a version that may be new, for a moment.
func (s *sim) flash() {
	if len(s.leaving) > 0 || !s.chance(0.15) {
		return
	}
	s.leaving = append(s.leaving, leavingEngine{version: fmt.Sprintf("v%d", s.random.IntN(4)), until: s.upTo(simFlash)})
	s.rev++
}
