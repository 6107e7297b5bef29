package placement

import (
	"math"
	"time"
)

// longShareDecay is the time constant with which past long prompts are forgotten: about as long as
// the streams run that began beside one.
const longShareDecay = 3 * time.Second

// longPromptShare tracks the part of the last seconds in which an engine had a long prompt to
// prefill.
type longPromptShare struct {
	share float64
	// active is whether it had one at the last observation.
	active    bool
	updatedAt time.Time
}

// observe records whether the engine has a long prompt to prefill now.
func (s *longPromptShare) observe(active bool, now time.Time) {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		target := 0.0
		if s.active {
			target = 1
		}
		s.share = target + (s.share-target)*math.Exp(-elapsed.Seconds()/longShareDecay.Seconds())
		s.updatedAt = now
	}
	s.active = active
}
