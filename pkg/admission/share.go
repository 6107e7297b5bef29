package admission

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant with which the share of a core follows what the process
	// gets: several periods of a quota.
	shareMemory = 300 * time.Millisecond
	// shareGap is the longest time between two readings that says something of the share: over a
	// longer one the process may have been idle.
	shareGap = time.Second
	// leastShare is what is believed of the share at least.
	leastShare = 0.01
)

// share is the part of a core that the process gets, by its processor clock beside passing time.
type share struct {
	value float64
	// used is the processor clock as of the last reading at.
	used, at time.Time
}

// newShare takes the whole core for granted until it is read.
func newShare() share { return share{value: 1} }

// read notes the processor clock at now.
func (s *share) read(used, now time.Time) {
	passed := now.Sub(s.at)
	if passed > 0 && passed <= shareGap {
		got := max(leastShare, min(1, used.Sub(s.used).Seconds()/passed.Seconds()))
		s.value += (1 - math.Exp(-passed.Seconds()/shareMemory.Seconds())) * (got - s.value)
	}
	s.used, s.at = used, now
}
