package waiting

import "time"

// started is the moment that aligned pauses count from, by the steady clock.
var started = time.Now()

// Aligned is the time from now to the next of the moments that lie every apart. Duties of an idle
// process that pause by it share their wake-ups.
func Aligned(now time.Time, every time.Duration) time.Duration {
	past := now.Sub(started) % every
	if past < 0 {
		past += every // the clock of a simulation may begin before the process
	}
	return every - past
}
