package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refusals that take most of the CPU on a host that gets a tenth of a core without
// knowing it. A fixed number of refusals, chosen for a whole core, took 64 of the 70 ms of CPU time
// that the router got in a second, and it served a tenth of its capacity.
func TestRefusalsAreBoundedByElapsedTime(t *testing.T) {
	const cost = 250 * time.Microsecond // time of a refusal on a tenth of a core
	a := newRefusalBudget(0)
	for range 20 {
		a.updateCost(500, 500*cost, start)
	}
	a.spend(a.available(start), start)
	later := start.Add(100 * time.Millisecond)
	spent := time.Duration(a.available(later)) * cost
	require.LessOrEqual(t, spent, 40*time.Millisecond)
	require.Greater(t, spent, 30*time.Millisecond, "nearly all of the budget may be used")
}

// Guards against connections that are closed because a pause of the process fell into one
// measurement. The mean covers a thousand refusals, so one such measurement changes it little.
func TestSinglePauseBarelyRaisesRefusalCost(t *testing.T) {
	a := newRefusalBudget(1)
	before := a.cost
	a.updateCost(50, 100*time.Millisecond, start)
	require.Less(t, a.cost, 6*before)
	for range 10 {
		a.updateCost(500, 500*before, start)
	}
	require.Less(t, a.cost, 2*before)
}
