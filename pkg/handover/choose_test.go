package handover

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a burst that is relayed to few routers, or to small ones as much as to large ones.
func TestConnectionsSpreadByPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []Target
		for i := range rapid.IntRange(2, 30).Draw(t, "targets") {
			targets = append(targets, Target{Addr: string(rune('a' + i)), Cores: rapid.SampledFrom([]float64{0, 0.2, 0.8}).Draw(t, "cores")})
		}
		open := make(map[string]int)
		place := rapid.IntRange(0, len(targets)-1)
		for range 20 * len(targets) {
			first, second := place.Draw(t, "first"), place.Draw(t, "second")
			got := choose(targets, func(addr string) int { return open[addr] }, first, second)
			other := targets[first]
			if other == got {
				other = targets[second]
			}
			require.LessOrEqual(t, load(got, open[got.Addr]), load(other, open[other.Addr]))
			open[got.Addr]++
		}
	})
}
