package routing

import "time"

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time in which an answer has its full worth: to the first event
	// of a stream, to the end of any other answer.
	Objective time.Duration
	// MaxPause is the longest pause between two events that the objective allows.
	MaxPause time.Duration
	// Rank orders routes by urgency, 0 first.
	Rank int
	// Targets share the route's requests by weight.
	Targets []Target
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// SharesPrompts says that requests name the parts of their prompts.
	SharesPrompts bool
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once from its
// beginning. Streams that may go on at another upstream may also begin again there.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }
