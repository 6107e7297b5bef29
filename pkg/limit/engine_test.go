package limit

import (
	"testing"
	"time"
)

// An engine runs eight requests at once and queues any more inside, where the fair order
// has no effect. The limit may grow up to 32. When it probes for more slots it must neither
// leave slots idle afterwards nor keep a queue inside the engine. Requests that were
// granted before a change of the limit end about a second later and must not count.
func TestLimitStaysAtTheEnginesSlots(t *testing.T) {
	const slots, serviceMs = 8, 860
	l := New(slots, 32)
	free := make([]int, slots) // when each slot of the engine becomes free, in ms
	var granted, starts, ends []int
	busy, queued, steps := 0, 0, 0
	for ms := 0; ms < 120_000; ms++ {
		at := epoch.Add(time.Duration(ms) * time.Millisecond)
		for i := 0; i < len(ends); i++ {
			if ends[i] > ms {
				continue
			}
			first := starts[i] + 20 - granted[i]
			l.Record(served(float64(first), len(ends), epoch.Add(time.Duration(granted[i])*time.Millisecond)), at)
			granted, starts, ends = removeAt(granted, i), removeAt(starts, i), removeAt(ends, i)
			i--
		}
		for len(ends) < l.Limit(at) {
			s := earliestFree(free)
			start := max(free[s], ms)
			free[s] = start + serviceMs/2 + (len(ends)*7919+ms*31)%serviceMs
			granted, starts, ends = append(granted, ms), append(starts, start), append(ends, free[s])
		}
		busy += min(len(ends), slots)
		queued += max(len(ends)-slots, 0)
		steps++
	}
	if share, queue := float64(busy)/slots/float64(steps), float64(queued)/float64(steps); share < 0.98 || queue > 0.5 {
		t.Fatalf("%.3f of the slots busy, %.2f requests queued inside the engine on average", share, queue)
	}
}

func removeAt(list []int, i int) []int { return append(list[:i], list[i+1:]...) }

func earliestFree(free []int) int {
	best := 0
	for i := range free {
		if free[i] < free[best] {
			best = i
		}
	}
	return best
}
