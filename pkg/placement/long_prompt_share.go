package placement

import (
	"math"
	"time"
)

// longMemory is the time constant with which an engine's long prompts are forgotten: about as
// long as the streams run that began beside one.
const longMemory = 3 * time.Second

// longShare is the part of the last seconds in which an engine had a long prompt to read.
type longShare struct {
	share float64
	// reads is whether it had one when it was last looked at.
	reads bool
	at    time.Time
}

// observe notes whether the engine has a long prompt to read now.
func (s *longShare) observe(reads bool, now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		target := 0.0
		if s.reads {
			target = 1
		}
		s.share = target + (s.share-target)*math.Exp(-passed.Seconds()/longMemory.Seconds())
		s.at = now
	}
	s.reads = reads
}
