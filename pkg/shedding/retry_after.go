package shedding

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

const (
	// soonest is the least pause after a refusal: that of a few reports between routers, before
	// which the same would be found again.
	soonest = 150 * time.Millisecond
	// latest is the longest one. Queues are looked no further ahead than that: organisations
	// come and go, and who comes back late finds no time left.
	latest = time.Second
	// comeBackSpread is by how much of itself a pause is longer by chance, so that those who are
	// refused together don't come back together.
	comeBackSpread = 0.5
)

// ComeBack is the time after which a refused request should come back: when the shortest queue
// has shrunk to what it may find, as engines do a second's work in a second; the later the more of
// its organisation's requests are held back. draw is a number by chance in [0, 1).
//
// Load pattern: for seconds callers ask for several times what engines do, and whoever is refused
// comes back once. Sent away for the same quarter of a second, some find the queue that they
// were refused for, and others have waited while there was room.
func ComeBack(v placement.Verdict, l placement.Limits, draw float64) time.Duration {
	over := max(0, v.Queue-l.Queue, v.Soonest-l.Wait, time.Duration(l.HeldBack*float64(latest)))
	pause := min(latest, soonest+over)
	return pause + time.Duration(comeBackSpread*draw*float64(pause))
}
