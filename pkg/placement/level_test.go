package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFillLevelAbsorbsTheUnseenWork(t *testing.T) {
	require.Zero(t, fillLevel(nil, time.Second))
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Int64Range(0, int64(time.Second)), 1, 40).Draw(t, "costs")
		costs := make([]time.Duration, len(list))
		for i, c := range list {
			costs[i] = time.Duration(c)
		}
		unseen := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "unseen"))
		level := fillLevel(costs, unseen)
		absorbed := time.Duration(0)
		for _, c := range costs {
			absorbed += max(0, level-c)
		}
		require.InDelta(t, unseen, absorbed, float64(len(costs)), "rounding loses at most a nanosecond for each cost")
	})
}

// Guards against many routers choosing the same engine: sixty-three routers decide by the same
// reports between an idle engine, one with a little work and one with much. If each took the idle
// one, its caller would wait behind those of sixty-two others.
func TestPickSpreadsTheChoicesOfManyRouters(t *testing.T) {
	choices := []Choice{{Cost: 100 * time.Millisecond}, {}, {Cost: 900 * time.Millisecond}}
	level := fillLevel([]time.Duration{100 * time.Millisecond, 0, 900 * time.Millisecond}, 500*time.Millisecond)
	require.Equal(t, 300*time.Millisecond, level)
	random := rand.New(rand.NewPCG(1, 1))
	var picks [3]int
	for range 5000 {
		picks[pick(choices, level, random.Float64())]++
	}
	require.InDelta(t, 2000, picks[0], 150)
	require.InDelta(t, 3000, picks[1], 150)
	require.Zero(t, picks[2])
	require.Equal(t, 1, pick(choices, 0, 0.9), "without unseen work the cheapest is taken")
}

// Guards against spreading work to failing instances: if two of 30 instances answer nothing, a part
// of the work of each of 24 routers would reach them, and those requests hang until their timeout
// (504 for the caller) and use up the host's file descriptors ("accept4: too many open files").
// Such instances must be chosen last.
func TestNoWorkIsSpreadToFailingInstances(t *testing.T) {
	failing := Choice{Cost: 200 * time.Millisecond, Candidate: Candidate{Handicap: 200 * time.Millisecond}}
	choices := []Choice{failing, {Cost: 20 * time.Millisecond}, {Cost: 10 * time.Millisecond, Candidate: Candidate{Handicap: 10 * time.Millisecond}}}
	for i := range 100 {
		require.NotZero(t, pick(choices, 500*time.Millisecond, float64(i)/100))
	}
	require.Equal(t, 2, pick(choices, 500*time.Millisecond, 0.999), "a single failure doesn't exclude it")
	require.Zero(t, pick(choices[:1], 500*time.Millisecond, 0.5), "there is no other instance")
}
