package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/telemetry"
)

// meter counts requests by organisation and kind of route, both bounded sets.
type meter struct {
	requests *telemetry.Requests
	outcomes *outcomes
	endings  *outcomes
}

func newMeter(scope tally.Scope) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	own := scope.SubScope("gateway")
	return &meter{requests: telemetry.NewRequests(scope), outcomes: newOutcomes(own), endings: newEndings(own)}
}

// noRoute stands for the kind of route of requests that match none.
const noRoute = "none"

func (m *meter) request(r *request, now time.Time) {
	class := noRoute
	if r.route != nil {
		class = string(r.route.Kind)
	}
	m.outcomes.count(class, r.trail.outcome)
	if r.trail.outcome != outcomeServed {
		m.requests.Refused(r.org, class, r.trail.outcome)
		return
	}
	m.requests.FirstToken(r.org, class, r.firstAfter(now))
	if r.ask.Prompt != nil {
		m.requests.Served(r.org, class, r.ask.Prompt.Size())
	}
}

// firstAfter is the time from acceptance to the first byte of the answer.
func (r *request) firstAfter(now time.Time) time.Duration {
	if n := len(r.trail.steps); n > 0 {
		first := r.trail.steps[0]
		return first.started.Sub(r.start) + time.Duration(first.FirstMs)*time.Millisecond
	}
	return now.Sub(r.start)
}
