package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestCPUShareFollowsWhatTheProcessGets(t *testing.T) {
	s := newCPUShare()
	used, now := start, start
	advance := func(slice, period time.Duration, periods int) {
		for range periods {
			used, now = used.Add(slice), now.Add(period)
			s.observe(used, now)
		}
	}
	advance(0, time.Minute, 1)
	require.EqualValues(t, 1, s.value, "nothing was observed before")
	advance(10*time.Millisecond, 100*time.Millisecond, 20)
	require.InDelta(t, 0.1, s.value, 0.01)
	advance(0, 2*maxObservationGap, 1)
	require.InDelta(t, 0.1, s.value, 0.01, "the process may have been idle")
	advance(50*time.Millisecond, 50*time.Millisecond, 40)
	require.InDelta(t, 1, s.value, 0.01)
	advance(0, 100*time.Millisecond, 40)
	require.InDelta(t, minCPUShare, s.value, 0.001)
}

// For any time slices, number of callers and idle moments, refusals take no more than their share
// of the CPU, plus refills and what a single measurement misses.
func TestRefusalsStayWithinTheirCPUShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cost := time.Duration(rapid.IntRange(5, 60).Draw(t, "cost_us")) * time.Microsecond
		used, spent, now := time.Duration(0), time.Duration(0), start
		clock := func() time.Duration { return used }
		r := &refuser{budget: newRefusalBudget(0), processCPU: clock, threadCPU: clock, refusal: func(time.Time) []byte { return nil }}
		refills, misses := r.budget.remaining, time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "slices") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{20, 90, 90, 90, 700}).Draw(t, "pause_ms")) * time.Millisecond)
			used += time.Duration(rapid.IntRange(0, 10).Draw(t, "slice_ms")) * time.Millisecond
			r.observeCPU(now)
			if rapid.Bool().Draw(t, "idle") {
				if now.Sub(r.lastRefusal) >= refillDelay {
					refills += r.budget.limit()
				}
				r.refill(now)
			}
			began, n := r.startTiming(), 0
			for range rapid.SampledFrom([]int{0, 50, 1000}).Draw(t, "callers") {
				if !r.canRefuse() {
					break
				}
				r.lastRefusal = now
				r.budget.spend(1, r.cpuTime)
				used, spent = used+cost, spent+cost
				if n++; n == refusalsPerMeasurement {
					r.measure(n, began)
					began, n = r.startTiming(), 0
				}
			}
			r.measure(n, began)
			misses += refusalsPerMeasurement * cost
		}
		require.LessOrEqual(t, spent, time.Duration(maxRefusalShare*float64(used))+refills+misses)
	})
}
