package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

func requestsOf(s Scenario) ([]Request, []time.Duration) {
	g := newGenerator(s, 9, devfleet.OrgInfo{Name: "org-10"}, 0)
	at := g.arrivals(s.Duration)
	var list []Request
	for range at {
		list = append(list, g.next(true))
	}
	return list, at
}

func TestLoadFollowsFromItsSeed(t *testing.T) {
	for _, name := range ScenarioNames() {
		s, err := NewScenario(name, time.Minute, 3)
		require.NoError(t, err)
		first, firstAt := requestsOf(s)
		again, againAt := requestsOf(s)
		require.Equal(t, first, again)
		require.Equal(t, firstAt, againAt)
		other, _ := requestsOf(Scenario{Profiles: s.Profiles, Duration: s.Duration, Seed: 4})
		require.NotEqual(t, first, other)
		rate := float64(len(firstAt)) / s.Duration.Seconds()
		require.InEpsilon(t, s.Profiles[9].Rate, rate, 0.3)
		for _, q := range first {
			require.GreaterOrEqual(t, q.Tokens, s.Profiles[9].Lengths.Least)
			require.LessOrEqual(t, q.Tokens, s.Profiles[9].Lengths.Most)
		}
	}
}

// A router dies. Its organisations' callers must go on elsewhere, or the experiment
// would measure their stubbornness, and come back once it answers again.
func TestCallersLeaveADeadEntryAndComeBack(t *testing.T) {
	now := time.Unix(100, 0)
	p := newEntryPicker([]string{"a", "b", "c"}, []int{1})
	require.Equal(t, "b", p.pick(now))
	p.refused("b", now)
	require.NotEqual(t, "b", p.pick(now))
	p.refused("a", now)
	require.Equal(t, "c", p.pick(now))
	p.refused("c", now)
	require.Equal(t, "b", p.pick(now), "with all of them gone its own one is as good as any")
	require.Equal(t, "b", p.pick(now.Add(avoidFor)))
}
