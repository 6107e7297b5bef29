package catalog

import "time"

// storeClock dates responses of the store by the store's monotonic clock.
//
// A response may wait unread while the process is paused or the network is interrupted. Dated by
// when it is read, an old list would pass for a current one, here and at the routers that receive
// it.
type storeClock struct {
	// zeroMin and zeroMax bound the local time at which the store's clock was zero.
	zeroMin, zeroMax time.Time
}

// asOf returns the latest time at which a response is certain to have been current. The response
// was requested at requestedAt, read at readAt, and sent at clock on the store's clock; 0 if
// unknown.
func (s *storeClock) asOf(requestedAt, readAt time.Time, clock time.Duration) time.Time {
	if clock <= 0 {
		return readAt
	}
	earliest, latest := requestedAt.Add(-clock), readAt.Add(-clock)
	if s.zeroMin.After(earliest) {
		earliest = s.zeroMin
	}
	if !s.zeroMax.IsZero() && s.zeroMax.Before(latest) {
		latest = s.zeroMax
	}
	if earliest.After(latest) {
		// A clock jumped, or the clocks drifted apart: the earlier bounds are invalid.
		earliest, latest = requestedAt.Add(-clock), readAt.Add(-clock)
	}
	s.zeroMin, s.zeroMax = earliest, latest
	return earliest.Add(clock)
}
