package routing

import "time"

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time that a caller waits.
	Timeout time.Duration
	// Objective is the latency objective: the time to the first event of a stream, or to the end
	// of any other response.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that meets the objective.
	MaxPause time.Duration
	// Rank orders routes by urgency, 0 first.
	Rank int
	// Targets share the route's requests by weight.
	Targets []Target
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// SharesPrompts is set when requests name the parts of their prompts.
	SharesPrompts bool
	// Resumable streams may continue at another upstream after the last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once from its beginning.
// Streams that may continue at another upstream may also restart there.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }
