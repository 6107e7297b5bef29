package returntime

import "time"

const (
	// objectiveShare is the part of an objective after which a refused caller returns: the rest is
	// for its second attempt.
	objectiveShare = 0.25
	// minDelay is the shortest delay: before it a caller finds the load that it was refused for.
	minDelay = 150 * time.Millisecond
)

// Within returns the delay after which a refused caller can still be served within its objective,
// or otherwise where the objective is too short for a second attempt or not known.
func Within(objective, otherwise time.Duration) time.Duration {
	delay := time.Duration(objectiveShare * float64(objective))
	if delay < minDelay {
		return otherwise
	}
	return min(delay, max(minDelay, otherwise))
}
