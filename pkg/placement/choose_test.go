package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

var usualSpeed = Speed{TokensPerMs: 50, FirstEvent: 40 * time.Millisecond, SlotTurn: 100 * time.Millisecond}

func engineService() *routing.Service {
	return &routing.Service{Name: "llm", Engine: &routing.Engine{Slots: 10, KVCapacity: 100_000}}
}

func documentPrompt() *prompt.Prompt {
	return &prompt.Prompt{Model: "m", Input: 6000, MaxOutput: 300, Parts: []prompt.Part{{ID: "system", Tokens: 500}, {ID: "doc", Tokens: 4500}, {ID: "own", Tokens: 1000}}}
}

func requestFor(p *prompt.Prompt) Request {
	return Request{Work: Work{Prompt: p}, Prefixes: Prefixes(p), Service: engineService(),
		Limits: Limits{Wait: 500 * time.Millisecond, Queue: 500 * time.Millisecond, ChosenQueue: 500 * time.Millisecond, RecomputeReserve: 3}}
}

func candidate(id string, l Load, cached int) Candidate {
	return Candidate{Instance: &upstream.Instance{ID: upstream.ID(id), Service: "llm"}, Load: l, Cached: cached}
}

func TestChooseTakesTheEngineThatCachesThePrompt(t *testing.T) {
	v := Choose(requestFor(documentPrompt()), []Candidate{candidate("idle", Load{}, 0), candidate("keeps", Load{Running: 4, PrefillTokens: 2000}, 5000)}, usualSpeed)
	require.True(t, v.OK)
	require.Equal(t, upstream.ID("keeps"), v.Choice.Candidate.Instance.ID)
	require.Equal(t, 1000, v.Choice.UncachedTokens)
}

// Guards against recomputing a popular document at one engine after another: a slightly less busy
// engine would prefill 4,500 tokens that another one has cached, its own requests would wait
// meanwhile, and the next request would find the same at a third engine.
func TestChooseRecomputesOnlyWithTimeInReserve(t *testing.T) {
	full := candidate("keeps", Load{PrefillTokens: 50_000}, 5000)
	req := requestFor(documentPrompt())
	v := Choose(req, []Candidate{full, candidate("busy", Load{PrefillTokens: 6000}, 0)}, usualSpeed)
	require.False(t, v.OK, "40 ms to the first event, 120 ms of queue, 120 ms of prefill and three times 100 ms of recomputing exceed 500 ms")

	req.Limits.RecomputeReserve = 1
	v = Choose(req, []Candidate{full, candidate("busy", Load{PrefillTokens: 6000}, 0)}, usualSpeed)
	require.True(t, v.OK)
}

func TestChooseCountsNoRecomputingOfUncachedTokens(t *testing.T) {
	req := requestFor(documentPrompt())
	req.Limits.RecomputeReserve = 10
	v := Choose(req, []Candidate{candidate("a", Load{}, 0), candidate("b", Load{}, 0)}, usualSpeed)
	require.True(t, v.OK)
}

// Guards against prefilling a new document at many engines: all routers get it at the same time,
// before any has reported it, and independent choices would differ.
func TestChooseAgreesOnNewPrompts(t *testing.T) {
	list := []Candidate{candidate("a", Load{}, 0), candidate("b", Load{}, 0), candidate("c", Load{}, 0), candidate("d", Load{}, 0)}
	first := Choose(requestFor(documentPrompt()), list, usualSpeed).Choice.Candidate.Instance.ID
	list[0], list[3] = list[3], list[0]
	require.Equal(t, first, Choose(requestFor(documentPrompt()), list, usualSpeed).Choice.Candidate.Instance.ID)
}

// Guards against an organisation far over its share filling the slots: one engine is always without
// a queue, as the prompts of others have just been prefilled there, and those within their share
// would wait.
func TestChooseLimitsSlotsOverTheShare(t *testing.T) {
	half := candidate("half", Load{Running: 5}, 0)
	req := requestFor(documentPrompt())
	require.True(t, Choose(req, []Candidate{half}, usualSpeed).OK)
	req.Limits.Occupancy = 0.5
	require.False(t, Choose(req, []Candidate{half}, usualSpeed).OK)
	req.Limits.Occupancy = 0.01
	require.True(t, Choose(req, []Candidate{candidate("idle", Load{}, 0)}, usualSpeed).OK, "an idle engine accepts any request")
	require.False(t, Choose(req, []Candidate{candidate("one", Load{Running: 1}, 0)}, usualSpeed).OK)
}

func TestChooseRefusesBehindLongQueues(t *testing.T) {
	req := requestFor(documentPrompt())
	req.Limits.Queue = 10 * time.Millisecond
	busy := candidate("busy", Load{PrefillTokens: 1000}, 0)
	require.False(t, Choose(req, []Candidate{busy}, usualSpeed).OK)
	v := Choose(req, []Candidate{busy, candidate("idle", Load{}, 0)}, usualSpeed)
	require.True(t, v.OK)
	require.Zero(t, v.ShortestQueue)
}

// Guards against an engine whose KV cache is full: one more request makes it preempt the newest one
// in the middle of its answer and recompute it from the start.
func TestChooseAvoidsEnginesWithAFullKVCache(t *testing.T) {
	v := Choose(requestFor(documentPrompt()), []Candidate{candidate("full", Load{KVTokens: 90_000}, 5000), candidate("free", Load{}, 5000)}, usualSpeed)
	require.True(t, v.OK)
	require.Equal(t, upstream.ID("free"), v.Choice.Candidate.Instance.ID)
	require.False(t, Choose(requestFor(documentPrompt()), []Candidate{candidate("full", Load{KVTokens: 90_000}, 5000)}, usualSpeed).OK)
}

func TestChooseAvoidsInstancesThatFail(t *testing.T) {
	call := Request{Service: &routing.Service{Name: "app"}, Zone: "a", Limits: Limits{Wait: time.Second, Queue: time.Second, ChosenQueue: time.Second}}
	sameZone := Candidate{Instance: &upstream.Instance{ID: "near", Zone: "a", Slots: 4}}
	otherZone := Candidate{Instance: &upstream.Instance{ID: "far", Zone: "b", Slots: 4}}
	sameZone.Handicap = 500 * time.Millisecond
	require.Equal(t, upstream.ID("far"), Choose(call, []Candidate{otherZone, sameZone}, usualSpeed).Choice.Candidate.Instance.ID)
}
