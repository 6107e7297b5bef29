package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func curveOf(p Pauses) Curve { return p.curve() }

func TestWithoutMeasurementsThePauseIsTheWholePrefill(t *testing.T) {
	c := curveOf(Pauses{})
	for _, prefill := range []time.Duration{50 * time.Millisecond, 450 * time.Millisecond, 5 * time.Second} {
		require.Equal(t, prefill, c.At(prefill))
	}
}

// Engines prefill in chunks, so streams pause for 200 ms at most, however long the prompt is. If
// the whole prefill counted as a pause, every long prompt would be kept away from all busy engines
// though it does no harm there.
func TestPausesAreLearnedAndExtendToLongerPrompts(t *testing.T) {
	var p Pauses
	for range 20 {
		p.observe(650*time.Millisecond, 200*time.Millisecond)
	}
	c := curveOf(p)
	require.InDelta(t, 200, ms(c.At(650*time.Millisecond)), 50)
	require.Less(t, c.At(1150*time.Millisecond), 500*time.Millisecond, "longer buckets without measurements take its value")
	require.Equal(t, 350*time.Millisecond, c.At(350*time.Millisecond), "shorter ones don't")
}

func TestPausesLongerThanThePrefillAreIgnored(t *testing.T) {
	var p Pauses
	p.observe(200*time.Millisecond, 900*time.Millisecond)
	require.True(t, p.Empty())
}

func TestOldPausesAreForgotten(t *testing.T) {
	var p Pauses
	for range 1000 {
		p.observe(650*time.Millisecond, 600*time.Millisecond)
	}
	for range 100 {
		p.observe(650*time.Millisecond, 200*time.Millisecond)
	}
	c := curveOf(p)
	require.Less(t, c.At(650*time.Millisecond), 260*time.Millisecond)
}
