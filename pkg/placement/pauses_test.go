package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// longPromptRequest is a prompt of 40,000 tokens whose prefill takes 800 ms.
func longPromptRequest() Request {
	req := requestFor(&prompt.Prompt{Model: "m", Input: 40_000, MaxOutput: 10, Parts: []prompt.Part{{ID: "own", Tokens: 40_000}}})
	req.Limits.Wait, req.MaxPause, req.PauseCurve = 2*time.Second, 500*time.Millisecond, pace.NewEstimator().Curve("llm")
	return req
}

// Guards against sending a long prompt to the engine with the least work but twenty short answers,
// all of which pause during the prefill and are late. An engine with a few more tokens to prefill
// and two answers is the better choice.
func TestLongPromptsGoWhereFewStreamsRun(t *testing.T) {
	many := candidate("many", Load{Running: 8, PauseWeight: 20}, 0)
	few := candidate("few", Load{Running: 9, PauseWeight: 2, PrefillTokens: 3000}, 0)
	req := longPromptRequest()
	require.Equal(t, upstream.ID("few"), Choose(req, []Candidate{many, few}, usualSpeed).Choice.Candidate.Instance.ID)
	require.Equal(t, 1.0, Choose(req, []Candidate{many, few}, usualSpeed).Choice.Risk)
	req.MaxPause = 0
	require.Equal(t, upstream.ID("many"), Choose(req, []Candidate{many, few}, usualSpeed).Choice.Candidate.Instance.ID)
}

func TestLongPromptsGoWhereStreamsAreLateAnyway(t *testing.T) {
	prefilling := candidate("reads", Load{Running: 8, PauseWeight: 20, LongPrompts: 1, PrefillTokens: 10_000}, 0)
	idle := candidate("calm", Load{Running: 8, PauseWeight: 20}, 0)
	require.Equal(t, upstream.ID("reads"), Choose(longPromptRequest(), []Candidate{idle, prefilling}, usualSpeed).Choice.Candidate.Instance.ID)
}

func TestHarmOfPromptsOverTheShareIsBounded(t *testing.T) {
	many := candidate("many", Load{Running: 8, PauseWeight: 20}, 0)
	req := longPromptRequest()
	req.Limits.Harm = 19
	require.False(t, Choose(req, []Candidate{many}, usualSpeed).OK)
	req.Limits.Harm = 20
	require.True(t, Choose(req, []Candidate{many}, usualSpeed).OK)
	req.Limits.Harm, req.Work.PauseWeight = 5, 20
	require.True(t, Choose(req, []Candidate{many}, usualSpeed).OK, "it may harm up to its own weight")
}

// Guards against streams that begin between two of the long prompts that one engine prefills one
// after the other: the next long prompt makes them late.
func TestStreamsAvoidEnginesThatPrefillLongPrompts(t *testing.T) {
	often := candidate("often", Load{Running: 2}, 0)
	often.LongPromptShare = 0.5
	idle := candidate("calm", Load{Running: 6}, 0)
	req := requestFor(documentPrompt())
	req.MaxPause, req.Work.PauseWeight = 500*time.Millisecond, 2
	require.Equal(t, upstream.ID("calm"), Choose(req, []Candidate{often, idle}, usualSpeed).Choice.Candidate.Instance.ID)
	req.Work.PauseWeight = 0
	require.Equal(t, upstream.ID("often"), Choose(req, []Candidate{often, idle}, usualSpeed).Choice.Candidate.Instance.ID, "an answer of one event has no pauses")
}

func TestSlowEnginesCostMore(t *testing.T) {
	slow := candidate("slow", Load{}, 0)
	slow.Slowness = 3
	v := Choose(requestFor(documentPrompt()), []Candidate{slow, candidate("usual", Load{PrefillTokens: 5000}, 0)}, usualSpeed)
	require.Equal(t, upstream.ID("usual"), v.Choice.Candidate.Instance.ID)
}

func TestLoadTrackerCountsPauseWeightAndLongPrompts(t *testing.T) {
	tracker := NewLoadTracker()
	request := tracker.Begin(lifeA, Work{Prompt: documentPrompt(), PrefillTokens: 100, PauseWeight: 3, LongPrompt: true})
	require.Equal(t, Load{Running: 1, PrefillTokens: 100, KVTokens: 6300, PauseWeight: 3, LongPrompts: 1}, tracker.Load(lifeA))
	request.MarkPrefilled()
	require.Equal(t, 3, tracker.Load(lifeA).PauseWeight, "the stream still runs")
	require.Zero(t, tracker.Load(lifeA).LongPrompts)
	request.MarkLate()
	request.MarkLate()
	require.Zero(t, tracker.Load(lifeA).PauseWeight)
	request.End()
	require.Zero(t, tracker.Load(lifeA))
}

func TestLongPromptShareDecays(t *testing.T) {
	now := time.Unix(0, 0)
	s := longPromptShare{updatedAt: now}
	s.observe(true, now)
	s.observe(true, now.Add(longShareDecay))
	require.InDelta(t, 0.63, s.share, 0.01)
	s.observe(false, now.Add(longShareDecay))
	s.observe(false, now.Add(4*longShareDecay))
	require.Less(t, s.share, 0.04)
}
