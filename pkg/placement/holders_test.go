package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// linkedService is a service whose engines transfer a token in two microseconds.
func linkedService() *routing.Service {
	s := engineService()
	s.Engine.KVTokenBytes, s.Engine.LinkBitsPerSecond = 100_000, 400e9
	return s
}

func fetchRequest() Request {
	req := requestFor(documentPrompt())
	req.Service, req.AllowFetch = linkedService(), true
	return req
}

func holder(id, zone string, cached int) Candidate {
	return Candidate{Instance: &upstream.Instance{ID: upstream.ID(id), Zone: zone}, Cached: cached, Confirmed: cached, Load: Load{PrefillTokens: 60_000}}
}

// The engine that has a document cached has a long queue, and another one is idle. Fetching the
// document takes 15 ms, recomputing it 100 ms.
func TestIdleEngineFetchesWhatABusyOneHasCached(t *testing.T) {
	v := Choose(fetchRequest(), []Candidate{holder("keeps", "", 5000), candidate("idle", Load{}, 0)}, usualSpeed)
	require.True(t, v.OK)
	require.Equal(t, upstream.ID("idle"), v.Choice.Candidate.Instance.ID)
	require.Equal(t, upstream.ID("keeps"), v.Choice.FetchFrom.ID)
	require.Equal(t, 5000, v.Choice.FetchedTokens)
	require.Equal(t, 1000, v.Choice.UncachedTokens)
}

func TestNothingIsFetched(t *testing.T) {
	idle := candidate("idle", Load{}, 0)
	for name, c := range map[string]struct {
		change func(*Request)
		holder Candidate
	}{
		"when it is disabled":                   {func(r *Request) { r.AllowFetch = false }, holder("keeps", "", 5000)},
		"without links between engines":         {func(r *Request) { r.Service = engineService() }, holder("keeps", "", 5000)},
		"while the holder is still prefilling":  {func(*Request) {}, Candidate{Instance: &upstream.Instance{ID: "keeps"}, Cached: 5000, Load: Load{PrefillTokens: 60_000}}},
		"when there are too few tokens":         {func(*Request) {}, holder("keeps", "", minFetchTokens-1)},
		"over a link slower than prefill":       {func(r *Request) { r.Service.Engine.LinkBitsPerSecond = 1e9 }, holder("keeps", "", 5000)},
		"from another software version":         {func(*Request) {}, Candidate{Instance: &upstream.Instance{ID: "keeps", Software: "v2"}, Cached: 5000, Confirmed: 5000, Load: Load{PrefillTokens: 60_000}}},
		"by the engine with most tokens cached": {func(*Request) {}, Candidate{Instance: &upstream.Instance{ID: "idle"}, Cached: 5000, Confirmed: 5000}},
	} {
		req := fetchRequest()
		req.Limits.RecomputeReserve = 0
		c.change(&req)
		candidates := []Candidate{c.holder, idle}
		if c.holder.Instance.ID == "idle" {
			candidates = candidates[:1]
		}
		v := Choose(req, candidates, usualSpeed)
		require.True(t, v.OK, name)
		require.Nil(t, v.Choice.FetchFrom, name)
	}
}

// Guards against an organisation far over its share that fills every idle engine by having its
// prompts fetched, instead of being refused where the engines that have them cached are busy.
// Prompts that are short enough to be recomputed are still fetched.
func TestFetchingIsNoWayAroundTheReserve(t *testing.T) {
	req := fetchRequest()
	req.Limits.ReserveIgnoresFetch, req.Limits.RecomputeReserve = true, 10
	busy := holder("keeps", "", 5000)
	busy.Load.PrefillTokens = 25_000
	idle := candidate("idle", Load{}, 0)
	v := Choose(req, []Candidate{busy, idle}, usualSpeed)
	require.False(t, v.OK, "ten times the prefill time of what it would copy is a second")

	short := *documentPrompt()
	short.Input, short.Parts = 1100, []prompt.Part{{ID: "system", Tokens: 500}, {ID: "own", Tokens: 600}}
	req.Work.Prompt, req.Prefixes = &short, Prefixes(&short)
	busy.Cached, busy.Confirmed = 500, 500
	v = Choose(req, []Candidate{busy, idle}, usualSpeed)
	require.True(t, v.OK)
	require.Equal(t, 500, v.Choice.FetchedTokens)
}

// Guards against copying a document to every engine in turn, each of which then evicts and
// recomputes what it had cached. A copy elsewhere must cost more than the engine that has it.
func TestTheHolderIsPreferredWhereItsQueueIsShort(t *testing.T) {
	busy := holder("keeps", "", 5000)
	busy.Load.PrefillTokens = 2000
	v := Choose(fetchRequest(), []Candidate{busy, candidate("idle", Load{}, 0)}, usualSpeed)
	require.Equal(t, upstream.ID("keeps"), v.Choice.Candidate.Instance.ID)
}

func TestTheNearerHolderIsTaken(t *testing.T) {
	c := Candidate{Instance: &upstream.Instance{ID: "c", Zone: "z"}}
	found := findHolders([]Candidate{holder("far", "y", 5000), holder("near", "z", 5000), holder("less", "z", 500)})
	duration, from := found.bestFetch(fetchRequest(), c, usualSpeed)
	require.Equal(t, upstream.ID("near"), from.Instance.ID)
	require.InDelta(t, transferSetup+10*time.Millisecond, duration, float64(time.Millisecond))
}
