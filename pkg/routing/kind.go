package routing

// Kind determines whether and how requests of a route may be retried.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run once or not at all.
	AtMostOnce Kind = "at-most-once"
	// Stream requests get a stream of numbered events as their response.
	Stream Kind = "stream"
)
