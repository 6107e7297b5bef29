package load

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// codeDeadline is the refusal of a request that waited until its deadline.
const codeDeadline = string(verdict.CodeDeadline)

// waitingSpans are the times in which each organisation has at least one completion
// that was sent and doesn't run yet, merged, by organisation.
func waitingSpans(results []Result, attempts []Attempt) map[string][]Span {
	started := firstStarts(attempts)
	spans := make(map[string][]Span)
	for _, r := range results {
		if waited(r) {
			spans[r.Org.Name] = append(spans[r.Org.Name], Span{r.Sent, waitEnd(r, started)})
		}
	}
	for org, list := range spans {
		spans[org] = union(list)
	}
	return spans
}

// waited reports whether r waited for an engine at all: what is refused at once
// holds no place in any queue.
func waited(r Result) bool {
	if r.isService() {
		return false
	}
	return r.Outcome != Unsent && (r.Outcome != Refused || r.Code == codeDeadline)
}

// waitEnd is when an engine began with r; without a run, when the caller was answered.
func waitEnd(r Result, started map[string]time.Time) time.Time {
	if at, ok := started[r.Marker]; ok {
		return at
	}
	return r.Ended
}

func firstStarts(attempts []Attempt) map[string]time.Time {
	started := make(map[string]time.Time, len(attempts))
	for _, a := range attempts {
		if at, ok := started[a.Marker]; !ok || a.Started.Before(at) {
			started[a.Marker] = a.Started
		}
	}
	return started
}
