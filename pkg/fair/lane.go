package fair

import "container/list"

// Lanes of one organisation, in the order in which they are tried.
const (
	laneIsolated = iota
	laneUrgent
	laneNormal
	laneBatch
	laneCount
)

// lane is a queue in order of waiting time.
type lane struct {
	queue list.List
	// passedOver counts the entries served from other lanes while this one waited.
	passedOver int
}
