package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/telemetry"
)

// requestMetrics counts requests by organisation and kind of route; the number of both is bounded.
type requestMetrics struct {
	requests *telemetry.Requests
	outcomes *taggedCounters
	endings  *taggedCounters
	resumed  *taggedCounters
	// suspicions counts the steps of suspicions that requests crash upstreams.
	suspicions *taggedCounters
	// bookings counts asks for turns at engines.
	bookings *taggedCounters
	// excess counts responses that exceeded a bound.
	excess *taggedCounters
	// reads counts requests that were read whole.
	reads *taggedCounters
	// notices counts responses that say something about their upstream.
	notices *taggedCounters
	// bodiesRefused counts requests that were refused for lack of memory for their bodies.
	bodiesRefused tally.Counter
}

func newRequestMetrics(scope tally.Scope) *requestMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	sub := scope.SubScope("gateway")
	return &requestMetrics{requests: telemetry.NewRequests(scope), outcomes: newOutcomeCounters(sub), endings: newEndingCounters(sub), resumed: newResumedCounters(sub), suspicions: newSuspicionCounters(sub), bookings: newBookingCounters(sub), excess: newExcessCounters(sub), notices: newNoticeCounters(sub), reads: newReadCounters(sub), bodiesRefused: sub.Counter("bodies_refused")}
}

// noRouteKind is the kind that is counted for requests without a route.
const noRouteKind = "none"

func (m *requestMetrics) record(r *request, now time.Time) {
	kind := noRouteKind
	if r.route != nil {
		kind = string(r.route.Kind)
	}
	m.outcomes.count(kind, r.logRecord.outcome)
	if r.boundBy != "" {
		m.resumed.count(string(r.boundBy), resumedOutcome(r))
	}
	if r.logRecord.outcome != outcomeServed {
		m.requests.Refused(r.org, kind, r.logRecord.outcome)
		return
	}
	m.requests.FirstToken(r.org, kind, r.timeToFirstByte(now))
	if r.meta.Prompt != nil {
		m.requests.Served(r.org, kind, r.meta.Prompt.Size())
	}
}

// timeToFirstByte returns the time from accepting the request to the first byte of the response.
func (r *request) timeToFirstByte(now time.Time) time.Duration {
	if n := len(r.logRecord.attempts); n > 0 {
		first := r.logRecord.attempts[0]
		return first.started.Sub(r.start) + time.Duration(first.FirstByteMs)*time.Millisecond
	}
	return now.Sub(r.start)
}
