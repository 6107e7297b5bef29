package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// nearRequest asks for the two cheapest choices besides the chosen one.
func nearRequest() (Request, []Candidate) {
	req := requestFor(documentPrompt())
	req.Zone, req.MaxNear = "one", 2
	far := candidate("far", Load{}, 0)
	far.Instance.Zone = "two"
	busiest, busy, idle := candidate("busiest", Load{PrefillTokens: 4000}, 0), candidate("busy", Load{PrefillTokens: 2000}, 0), candidate("idle", Load{}, 0)
	for _, c := range []Candidate{busiest, busy, idle} {
		c.Instance.Zone = "one"
	}
	return req, []Candidate{busiest, far, busy, idle}
}

func ids(list []Choice) []string {
	var names []string
	for _, c := range list {
		names = append(names, string(c.Candidate.Instance.ID))
	}
	return names
}

func TestNearChoicesAreTheCheapestOfTheZone(t *testing.T) {
	req, candidates := nearRequest()
	d := Choose(req, candidates, usualSpeed)
	require.Equal(t, []string{"idle", "busy"}, ids(d.Near))
	require.Positive(t, d.Near[0].AddedCost)
}

func TestShortPromptsHaveNoNearChoices(t *testing.T) {
	req, candidates := nearRequest()
	req.NearFrom = time.Hour
	require.Empty(t, Choose(req, candidates, usualSpeed).Near)
	req.NearFrom, req.MaxNear = 0, 0
	require.Empty(t, Choose(req, candidates, usualSpeed).Near)
}

// Guards against choices that the next decision overwrites while a keeper is asked.
func TestNearChoicesOutliveTheDecision(t *testing.T) {
	req, candidates := nearRequest()
	first := Choose(req, candidates, usualSpeed)
	Choose(req, []Candidate{candidate("other", Load{}, 0), candidate("another", Load{}, 0)}, usualSpeed)
	require.Equal(t, []string{"idle", "busy"}, ids(first.Near))
}

func TestMaxQueueLeavesTheWaitInItsLimit(t *testing.T) {
	l := Limits{Wait: 500 * time.Millisecond, ChosenQueue: time.Second, RecomputeReserve: 2}
	c := Choice{Wait: 300 * time.Millisecond, Queue: 100 * time.Millisecond, recompute: 50 * time.Millisecond}
	require.Equal(t, 200*time.Millisecond, l.MaxQueue(c))
	l.ChosenQueue = 80 * time.Millisecond
	require.Equal(t, 80*time.Millisecond, l.MaxQueue(c))
}
