package entitlement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPart(t *testing.T) {
	require.Equal(t, 0.25, Part(400, 100))
	require.Equal(t, 1.0, Part(100, 100))
	require.Equal(t, 1.0, Part(0, 100))
	require.Equal(t, 1.0, Part(100, math.Inf(1)), "everybody can have what it asks for")
	require.Zero(t, Part(100, 0))
}

// Guards against reports that make no sense: they must not keep an organisation from what it is due.
func TestTrafficThatIsNoNumberLimitsNobody(t *testing.T) {
	require.Equal(t, 1.0, Part(math.NaN(), 100))
	require.Equal(t, 1.0, Part(100, math.NaN()))
	require.Zero(t, Part(math.Inf(1), 100))
	require.Zero(t, Part(100, -1))
}

// Routers that draw for their own callers give an organisation together what it is due, whatever the
// sizes of its requests.
func TestDrawnPartsAddUpToTheDue(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const due = 300_000.0
	asked, drawn, long, drawnLong := 0.0, 0.0, 0, 0
	var sizes []float64
	for range 20_000 {
		size := 500 * math.Exp(random.NormFloat64())
		sizes = append(sizes, size)
		asked += size
	}
	for _, size := range sizes {
		entitled := Entitled(asked, due, random.Float64())
		if entitled {
			drawn += size
		}
		if size > 2000 {
			long++
			if entitled {
				drawnLong++
			}
		}
	}
	require.InEpsilon(t, due, drawn, 0.05)
	require.InDelta(t, due/asked, float64(drawnLong)/float64(long), 0.03, "long prompts have the same chance")
}
