package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A router gets a tenth of a core and isn't told so. Bound by a count for a whole core, refusing
// took 64 of the 70 ms of processor that it got in a second, and it served a tenth of what it can.
func TestRefusalsAreBoundedByTheTimeThatPasses(t *testing.T) {
	const slowly = 250 * time.Microsecond // that each takes at a tenth of a core
	a := newAllowance(0)
	for range 20 {
		a.measure(500, 500*slowly, start)
	}
	a.spend(a.room(start), start)
	later := start.Add(100 * time.Millisecond)
	spent := time.Duration(a.room(later)) * slowly
	require.LessOrEqual(t, spent, 40*time.Millisecond)
	require.Greater(t, spent, 30*time.Millisecond, "nearly all of it may be used")
}

// Turning away is measured once in a pause of the processor. The mean follows a thousand
// refusals, so that one such time closes nobody.
func TestOnePauseHardlyLowersTheAllowance(t *testing.T) {
	a := newAllowance(1)
	before := a.each
	a.measure(50, 100*time.Millisecond, start)
	require.Less(t, a.each, 6*before)
	for range 10 {
		a.measure(500, 500*before, start)
	}
	require.Less(t, a.each, 2*before)
}
