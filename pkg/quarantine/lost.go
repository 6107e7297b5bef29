package quarantine

import "time"

// lostUpstreams are upstreams that crashed, by the numbers of their lives, and when.
type lostUpstreams map[uint32]time.Time

const (
	// maxLost is the number of upstreams from which on old ones are dropped.
	maxLost = 1024
	// lostFor is how long a crash matters for others at the same time.
	lostFor = time.Minute
)

func (l lostUpstreams) add(upstream uint32, at time.Time) {
	if at.After(l[upstream]) {
		l[upstream] = at
	}
	if len(l) <= maxLost {
		return
	}
	for u, lostAt := range l {
		if at.Sub(lostAt) > lostFor {
			delete(l, u)
		}
	}
}

// between returns the number of upstreams that crashed in a span of time.
func (l lostUpstreams) between(from, to time.Time) (n int) {
	for _, at := range l {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}
