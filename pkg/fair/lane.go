package fair

import "container/list"

// Lanes of one organisation, in the order in which they are tried.
const (
	laneAside = iota
	laneUrgent
	laneNormal
	laneBatch
	lanes
)

// lane is a queue in order of arrival.
type lane struct {
	queue list.List
	// passed counts the entries served from other lanes while this one waited.
	passed int
}
