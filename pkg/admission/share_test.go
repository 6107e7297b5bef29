package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestShareFollowsWhatTheProcessGets(t *testing.T) {
	s := newShare()
	used, now := start, start
	get := func(turn, period time.Duration, periods int) {
		for range periods {
			used, now = used.Add(turn), now.Add(period)
			s.read(used, now)
		}
	}
	get(0, time.Minute, 1)
	require.EqualValues(t, 1, s.value, "nothing was read before")
	get(10*time.Millisecond, 100*time.Millisecond, 20)
	require.InDelta(t, 0.1, s.value, 0.01)
	get(0, 2*shareGap, 1)
	require.InDelta(t, 0.1, s.value, 0.01, "it may have been idle")
	get(50*time.Millisecond, 50*time.Millisecond, 40)
	require.InDelta(t, 1, s.value, 0.01)
	get(0, 100*time.Millisecond, 40)
	require.InDelta(t, leastShare, s.value, 0.001)
}

// Whatever turns a host gives, however many callers come and however often the router is calm for a moment,
// refusals take no more than their part of the processor, a reserve, and what a single measurement misses.
func TestRefusalsStayWithinTheirPartOfTheProcessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		each := time.Duration(rapid.IntRange(5, 60).Draw(t, "each_us")) * time.Microsecond
		used, spent, now := time.Duration(0), time.Duration(0), start
		clock := func() time.Duration { return used }
		r := &refuser{allowed: newAllowance(0), processor: clock, thread: clock, refusal: func(time.Time) []byte { return nil }}
		reserves, misses := r.allowed.left, time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "turns") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{20, 90, 90, 90, 700}).Draw(t, "pause_ms")) * time.Millisecond)
			used += time.Duration(rapid.IntRange(0, 10).Draw(t, "turn_ms")) * time.Millisecond
			r.observe(now)
			if rapid.Bool().Draw(t, "calm") {
				if now.Sub(r.refusedAt) >= refillAfter {
					reserves += r.allowed.most()
				}
				r.refill(now)
			}
			began, n := r.begin(), 0
			for range rapid.SampledFrom([]int{0, 50, 1000}).Draw(t, "callers") {
				if !r.hasRoom() {
					break
				}
				r.refusedAt = now
				r.allowed.spend(1, r.usedAt)
				used, spent = used+each, spent+each
				if n++; n == measuredAtOnce {
					r.measure(n, began)
					began, n = r.begin(), 0
				}
			}
			r.measure(n, began)
			misses += measuredAtOnce * each
		}
		require.LessOrEqual(t, spent, time.Duration(refusingPart*float64(used))+reserves+misses)
	})
}
