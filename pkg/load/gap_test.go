package load

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// bruteGap tries every window of samples in which both stay backlogged.
func bruteGap(a, b served, n int) float64 {
	worst := 0.0
	for from := range n {
		for to := from + 1; to < n && a.backlogged[to] && b.backlogged[to]; to++ {
			gap := (a.total[to] - a.total[from]) - (b.total[to] - b.total[from])
			worst = max(worst, math.Abs(gap))
		}
	}
	return worst
}

func drawServed(t *rapid.T, name string, n int) served {
	s := served{name: name, total: make([]float64, n), backlogged: make([]bool, n)}
	for k := 1; k < n; k++ {
		s.total[k] = s.total[k-1] + float64(rapid.IntRange(0, 50).Draw(t, "tokens"))
		s.backlogged[k] = rapid.IntRange(0, 5).Draw(t, "idle") > 0
	}
	return s
}

func TestPairGapIsThatOfTheWorstWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(t, "samples")
		a, b := drawServed(t, "a", n), drawServed(t, "b", n)
		samples := make([]Sample, n)
		got := pairGap(a, b, samples)
		if want := bruteGap(a, b, n); got.Tokens != want {
			t.Fatalf("gap %v, brute force %v", got.Tokens, want)
		}
	})
}

func TestGapNamesWhoGotLess(t *testing.T) {
	start := time.Unix(0, 0)
	samples := []Sample{{At: start}, {At: start.Add(time.Second)}, {At: start.Add(2 * time.Second)}}
	always := []bool{false, true, true}
	a := served{"a", []float64{0, 1, 2}, always}
	b := served{"b", []float64{0, 10, 30}, always}
	require.Equal(t, Gap{Tokens: 28, Most: "b", Least: "a", Seconds: 2}, pairGap(a, b, samples))
	require.Equal(t, Gap{Tokens: 28, Most: "b", Least: "a", Seconds: 2}, pairGap(b, a, samples))
}
