package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/verdict"
)

func resultOf(marker string, o Outcome, v verdict.Verdict) Result {
	return Result{Request: Request{Marker: marker, Form: Streamed}, Outcome: o, Verdict: v}
}

// Callers and upstreams disagree in every way that the promises exclude. Each has
// to be counted once, under its own name; what is allowed has to stay uncounted.
func TestAuditFindsEachKindOfFault(t *testing.T) {
	results := []Result{
		resultOf("fine", Whole, 0),
		resultOf("ran twice", Whole, 0),
		resultOf("answered by nobody", Whole, 0),
		resultOf("refused truly", Refused, verdict.NotRun),
		resultOf("refused falsely", Refused, verdict.NotRun),
		resultOf("refused and may have run", Refused, verdict.MayHaveRun),
		resultOf("silent", Lost, 0),
		resultOf("ended early", Cut, 0),
		resultOf("broken off", Broken, 0),
	}
	attempts := []Attempt{
		{Marker: "fine"}, {Marker: "ran twice"}, {Marker: "ran twice"}, {Marker: "refused falsely"},
		{Marker: "refused and may have run"}, {Marker: "ended early"}, {Marker: "broken off"},
	}
	a := Check(results, attempts, NoExcuse)
	require.Equal(t, []int{1, 1, 3, 1}, []int{a.Lost, a.Doubled, a.Cut, a.FalseRefusals})
	require.Equal(t, []int{9, 3, 3, 0}, []int{a.Sent, a.Whole, a.Refused, a.Excused})
	require.False(t, a.Clean())

	excused := Check(results, attempts, func(Result) bool { return true })
	require.Equal(t, []int{0, 1, 2, 1}, []int{excused.Lost, excused.Doubled, excused.Cut, excused.FalseRefusals})
	require.Equal(t, 2, excused.Excused, "a clean end is never excused, and neither is a second run")
}

// A router may not pass the marker's header on to a plain service. The journal then
// only has the hash of the body; a doubled save must still be found.
func TestAuditKnowsAServiceCallByItsBody(t *testing.T) {
	q := Request{Marker: "save-1", Form: ServiceSave}
	hash := q.contentKey()[len("content:"):]
	once := []Attempt{{Content: hash}}
	results := []Result{{Request: q, Outcome: Whole}}
	require.True(t, Check(results, once, NoExcuse).Clean())
	require.Equal(t, 1, Check(results, append(once, once...), NoExcuse).Doubled)
}
