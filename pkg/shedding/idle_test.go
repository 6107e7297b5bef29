package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// idleEngines returns n engines without a queue.
func idleEngines(n int) []placement.Candidate {
	list := make([]placement.Candidate, n)
	for i := range list {
		list[i].Instance = &upstream.Instance{ID: upstream.ID(rune('a' + i)), State: upstream.Ready}
	}
	return list
}

// Guards against an organisation that takes more than twice what another one gets while engines are
// idle. All callers of "behind" use a small router, which handles 30 of their requests a second;
// those of "ahead" use a larger one and send ten times as many. Both get several times their due.
// The queue limit of "ahead" falls to a millisecond, but that holds nothing back at engines without
// a queue:
//
//	organisation_use router=front-hall-a-2 fleet_got=1000805 standing=2.21 ahead=2.02 behind_got=496351
//	fairness: 47,778,174 tokens asked, 2,381,994 given; another one got 4,969,124
func TestAnOrganisationAheadIsShedWhileEnginesAreIdle(t *testing.T) {
	const (
		tick     = 10 * time.Millisecond
		warmUp   = 5 * time.Second
		measured = 6 * time.Second
		capacity = 60_000 // tokens a second
	)
	random := rand.New(rand.NewPCG(1, 1))
	engine := &routing.Engine{Slots: 24, KVCapacity: 400_000}
	work := placement.Work{Prompt: &prompt.Prompt{Input: 900, MaxOutput: 50}}
	size := work.Prompt.Size()
	shares, now := placement.NewShares(), time.Unix(1000, 0)
	asked := map[string]float64{"behind": 30, "ahead": 300} // requests a second
	got := make(map[string]float64)
	for elapsed := time.Duration(0); elapsed < warmUp+measured; elapsed += tick {
		now = now.Add(tick)
		for _, small := range []string{"a", "b", "c"} {
			shares.AddAsked(small, 40, now)
			shares.AddGot(small, 40, now)
		}
		for org, rate := range asked {
			for left := rate * tick.Seconds(); left > random.Float64(); left-- {
				// Requests that the small router refuses on arrival count as asked for.
				shares.AddAsked(org, size*asked["ahead"]/rate, now)
				standing := shares.Standing(org, capacity, now)
				req := placement.Request{Work: work, Service: &routing.Service{Engine: engine}, Random: random.Float64(),
					Limits: PromptLimits(Request{Objective: 600 * time.Millisecond, Prefill: 20 * time.Millisecond, Standing: standing})}
				if !placement.Choose(req, idleEngines(8), placement.Speed{TokensPerMs: 60, FirstEvent: 5 * time.Millisecond}).OK {
					continue
				}
				shares.AddGot(org, size, now)
				if elapsed >= warmUp {
					got[org] += size
				}
			}
		}
	}
	t.Logf("%v", got)
	require.Greater(t, 2*got["behind"], got["ahead"])
	require.Greater(t, got["ahead"], got["behind"], "asking for more doesn't lead to less")
}
