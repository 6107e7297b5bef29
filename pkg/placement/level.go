package placement

import (
	"slices"
	"time"
)

// maxSpreadHandicap is the handicap from which on an instance gets no part of the work that is
// spread: one in sixteen of its answers failed, or it has just been suspended. Single failures
// leave less.
const maxSpreadHandicap = 50 * time.Millisecond

// fillLevel returns the cost to which all cheaper instances rise when unseen work is spread over
// them, the cheapest first.
func fillLevel(costs []time.Duration, unseen time.Duration) time.Duration {
	if len(costs) == 0 {
		return 0
	}
	slices.Sort(costs)
	sum, count := costs[0], 1
	for _, cost := range costs[1:] {
		if time.Duration(count)*cost-sum >= unseen {
			break
		}
		sum += cost
		count++
	}
	return (unseen + sum) / time.Duration(count)
}

// pick returns the index of the choice to take: among the choices below level, each with a
// probability proportional to its distance below it; otherwise the cheapest. random is in [0, 1).
//
// All routers decide by the same reports, some hundred milliseconds old. If each took the engine
// that was the least busy in them, prompts would queue there behind those of other routers, and
// their first events would come far later than expected, while other engines were idle. The work
// assigned since the reports goes to the engines that looked cheap, up to level; picking them in
// proportion to their distance below it leaves all of them equally busy.
func pick(choices []Choice, level time.Duration, random float64) int {
	best, total := 0, time.Duration(0)
	for i := range choices {
		if choices[i].Cost < choices[best].Cost {
			best = i
		}
		total += choices[i].belowLevel(level)
	}
	remaining := time.Duration(random * float64(total))
	for i := range choices {
		below := choices[i].belowLevel(level)
		if remaining < below {
			return i
		}
		remaining -= below
	}
	return best
}

// belowLevel is the distance of a choice below level; 0 for an instance that failed recently.
//
// The handicap of an instance that fails or doesn't answer is some tenths of a second, so the
// spread work would reach it. Every router of a fleet would go on sending it requests, which hang
// until their timeout, and the waiting connections would use up the host's file descriptors.
func (c *Choice) belowLevel(level time.Duration) time.Duration {
	if c.Candidate.Handicap >= maxSpreadHandicap {
		return 0
	}
	return max(0, level-c.Cost)
}
