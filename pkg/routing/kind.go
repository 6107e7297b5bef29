package routing

// Kind says what may be repeated about the requests of a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run once or not at all.
	AtMostOnce Kind = "at-most-once"
	// Stream requests are answered by a series of numbered events.
	Stream Kind = "stream"
)
