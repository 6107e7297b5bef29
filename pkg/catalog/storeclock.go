package catalog

import "time"

// storeClock dates answers of the store by its steady clock.
//
// Guard: an answer may wait, unread, in a process that stands still or behind a link that heals.
// Dated by when it is read, an old list would pass for a current one, here and at the routers that
// are told of it.
type storeClock struct {
	// earliest and latest bound the local time at which the store's clock was zero.
	earliest, latest time.Time
}

// date gives the latest time that an answer is sure to be as of. It was asked for at asked, read at
// read, and made at clock of the store's; 0 where it doesn't say.
func (s *storeClock) date(asked, read time.Time, clock time.Duration) time.Time {
	if clock <= 0 {
		return read
	}
	earliest, latest := asked.Add(-clock), read.Add(-clock)
	if s.earliest.After(earliest) {
		earliest = s.earliest
	}
	if !s.latest.IsZero() && s.latest.Before(latest) {
		latest = s.latest
	}
	if earliest.After(latest) {
		// One of the clocks jumped, or they drifted apart: what was known is void.
		earliest, latest = asked.Add(-clock), read.Add(-clock)
	}
	s.earliest, s.latest = earliest, latest
	return earliest.Add(clock)
}
