package placement

import (
	"math"
	"time"
)

const (
	// maxConnectedTie bounds the difference of costs that counts as a tie: beyond it a caller would
	// wait longer than its connection saves, however little is known of the engines.
	maxConnectedTie = 30 * time.Millisecond
	// connectedDraws separates the draw among connected choices from the one among all: both come
	// from one random number, which is far finer than a service has instances.
	connectedDraws = 1 << 16
)

// preferConnected returns the index of a choice that is nearly equal to the picked one and to which
// this router is connected; picked if there is none. random is in [0, 1).
//
// Many routers spread their requests over many engines, so each uses a connection to any one of them
// seldom, and finds it closed. Costs that differ by less than a new connection and unseen, the work
// that other routers have probably sent to each engine since the last reports, say nothing about which
// engine is better. The tie holds in both directions: if only cheaper choices counted, all routers
// would move to the same few.
func (r *Request) preferConnected(choices []Choice, picked int, unseen time.Duration, random float64) int {
	if r.ConnectCost <= 0 || choices[picked].Candidate.Connected {
		return picked
	}
	tie := min(maxConnectedTie, r.ConnectCost+unseen)
	count := 0
	for i := range choices {
		if r.isConnectedTie(&choices[i], &choices[picked], tie) {
			count++
		}
	}
	if count == 0 {
		return picked
	}
	_, draw := math.Modf(random * connectedDraws)
	nth := int(draw * float64(count))
	for i := range choices {
		if !r.isConnectedTie(&choices[i], &choices[picked], tie) {
			continue
		}
		if nth == 0 {
			return i
		}
		nth--
	}
	return picked
}

// isConnectedTie reports whether a choice is connected and its cost differs from that of picked by at
// most tie. It must not prefill or fetch more, or be in another zone if picked isn't: those costs are
// certain. An instance that failed more often of late is never preferred.
func (r *Request) isConnectedTie(c, picked *Choice, tie time.Duration) bool {
	if !c.Candidate.Connected || c.Candidate.Handicap >= maxSpreadHandicap || c.Candidate.Handicap > picked.Candidate.Handicap {
		return false
	}
	if (c.Cost - picked.Cost).Abs() > tie {
		return false
	}
	return c.UncachedTokens <= picked.UncachedTokens && c.FetchedTokens <= picked.FetchedTokens && zoneCost(r, &c.Candidate) <= zoneCost(r, &picked.Candidate)
}
