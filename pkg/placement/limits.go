package placement

import "time"

// Limits are the conditions under which a request may be sent to an instance.
type Limits struct {
	// Wait is the longest expected time to the first event.
	Wait time.Duration
	// Queue bounds the shortest queue of all candidates: beyond it the request is refused,
	// whichever candidate it would be sent to.
	Queue time.Duration
	// ChosenQueue bounds the queue of the candidate that is chosen.
	ChosenQueue time.Duration
	// Occupancy is the part of an engine's slots that may be taken, at least one slot; 0 for no
	// bound.
	Occupancy float64
	// RecomputeReserve is the factor by which the time for recomputing what another candidate has
	// cached must fit within Wait beside the expected wait. Engines that are nearly full do better
	// to serve prompts that they have in their caches.
	RecomputeReserve float64
	// ReserveIgnoresFetch makes RecomputeReserve count the tokens missing from an engine's cache
	// even where the engine could fetch them.
	ReserveIgnoresFetch bool
	// OverShare marks a request of an organisation over its share, which only gets the capacity
	// that others leave.
	OverShare bool
	// ShedFraction is the part of such requests that is refused even when engines are idle; 0 for
	// none. It applies only with OverShare.
	ShedFraction float64
	// Harm bounds the weight of the streams that the request may make late; 0 for no bound.
	Harm float64
}
