package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Guards against a preference that makes callers wait: the other choice is connected, healthy and costs at most the tie more.
func TestOnlyTiesArePreferred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int64) time.Duration {
			return time.Duration(rapid.Int64Range(0, most).Draw(t, name)) * time.Millisecond
		}
		choices := make([]Choice, rapid.IntRange(1, 30).Draw(t, "choices"))
		for i := range choices {
			choices[i] = Choice{Cost: ms("cost", 200), UncachedTokens: rapid.IntRange(0, 2).Draw(t, "uncached"), FetchedTokens: rapid.IntRange(0, 2).Draw(t, "fetched"), Candidate: Candidate{Instance: &upstream.Instance{Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")}, Connected: rapid.Bool().Draw(t, "connected"), Handicap: ms("handicap", 100)}}
		}
		r := Request{Zone: "a", ConnectCost: ms("connect", 10)}
		unseen := ms("unseen", 100)
		picked := rapid.IntRange(0, len(choices)-1).Draw(t, "picked")
		got := r.preferConnected(choices, picked, unseen, rapid.Float64Range(0, 0.999999).Draw(t, "random"))
		switch tie := min(maxConnectedTie, r.ConnectCost+unseen); {
		case got == picked:
		case r.ConnectCost == 0, choices[picked].Candidate.Connected:
			t.Fatal("there is nothing to save")
		case !choices[got].Candidate.Connected, choices[got].Candidate.Handicap >= maxSpreadHandicap, (choices[got].Cost - choices[picked].Cost).Abs() > tie:
			t.Fatalf("%+v is preferred to %+v", choices[got], choices[picked])
		case choices[got].Candidate.Handicap > choices[picked].Candidate.Handicap:
			t.Fatal("it failed more often of late")
		case choices[got].UncachedTokens > choices[picked].UncachedTokens || choices[got].FetchedTokens > choices[picked].FetchedTokens:
			t.Fatal("more is prefilled or fetched")
		case choices[got].Candidate.Instance.Zone != r.Zone && choices[picked].Candidate.Instance.Zone == r.Zone:
			t.Fatal("the request leaves its zone")
		}
	})
}

// Guards against a preference for the same few of the connected engines, which would get all of a router's requests.
func TestConnectedTiesAreChosenAlike(t *testing.T) {
	choices := make([]Choice, 8)
	for i := range choices {
		choices[i].Candidate = Candidate{Instance: &upstream.Instance{}, Connected: i < 4}
	}
	r, random := Request{ConnectCost: time.Millisecond}, rand.New(rand.NewPCG(1, 1))
	var got [8]int
	for range 8000 {
		got[r.preferConnected(choices, 6, 0, random.Float64())]++
	}
	for i, n := range got {
		if i < 4 {
			require.InDelta(t, 2000, n, 200)
		} else {
			require.Zero(t, n)
		}
	}
}

// connectedCandidates are two idle engines, of which the router is connected to the second.
func connectedCandidates() []Candidate {
	return []Candidate{{Instance: &upstream.Instance{ID: "a", Slots: 4}}, {Instance: &upstream.Instance{ID: "b", Slots: 4}, Connected: true}}
}

// Guards against a connection that counts more than an engine's health, its queue or the limits of the request.
func TestHealthAndLimitsComeBeforeConnections(t *testing.T) {
	chosen := func(change func(*Request, []Candidate)) upstream.ID {
		r := Request{Service: &routing.Service{Name: "app"}, Limits: Limits{Wait: time.Second, Queue: time.Second, ChosenQueue: time.Second}, ConnectCost: 3 * time.Millisecond}
		candidates := connectedCandidates()
		change(&r, candidates)
		d := Choose(r, candidates, usualSpeed)
		require.True(t, d.OK)
		return d.Choice.Candidate.Instance.ID
	}
	require.EqualValues(t, "b", chosen(func(*Request, []Candidate) {}))
	require.EqualValues(t, "a", chosen(func(r *Request, _ []Candidate) { r.ConnectCost = 0 }), "the preference is switched off")
	require.EqualValues(t, "a", chosen(func(_ *Request, c []Candidate) { c[1].Connected = false }), "no connection is known after a start")
	require.EqualValues(t, "a", chosen(func(r *Request, c []Candidate) {
		c[1].Handicap, r.Unseen.Assigned = 10*time.Millisecond, 40*time.Millisecond
	}), "it failed lately, by less than the tie")
	require.EqualValues(t, "a", chosen(func(_ *Request, c []Candidate) { c[1].Load.Running = 5 }), "a queue")
	require.EqualValues(t, "a", chosen(func(r *Request, c []Candidate) {
		c[1].Load.Running, r.Limits.Wait = 5, 0
		r.Unseen.Assigned = time.Minute
	}), "its queue is over the limit, however little is known")
}

// Guards against a tie that widens with the engines that don't fit, as the work that others have sent is spread over all of them.
func TestTheTieCountsAllEngines(t *testing.T) {
	r := Request{Service: &routing.Service{Name: "app"}, Limits: Limits{Wait: 20 * time.Millisecond, Queue: time.Second, ChosenQueue: time.Second}, ConnectCost: 3 * time.Millisecond}
	r.Unseen.Assigned, r.Random = 100*time.Millisecond, 0.5
	candidates := connectedCandidates()
	candidates[1].Handicap, candidates[0].Handicap = 15*time.Millisecond, 15*time.Millisecond
	candidates[1].Load.Running = 1 // 15 ms dearer
	for range 48 {
		candidates = append(candidates, Candidate{Instance: &upstream.Instance{ID: "full", Slots: 4}, Load: Load{Running: 40}})
	}
	require.EqualValues(t, "a", Choose(r, candidates, usualSpeed).Choice.Candidate.Instance.ID)
}
