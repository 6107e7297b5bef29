package placement

import (
	"slices"
	"time"
)

// doubtful is the handicap from which on an instance is left out of what is spread: one in sixteen
// of its answers failed, or it was suspended just before. Single failures leave less.
const doubtful = 50 * time.Millisecond

// level is the cost to which all instances that cost less rise when unseen work is poured over
// them, the cheapest first.
func level(costs []time.Duration, unseen time.Duration) time.Duration {
	if len(costs) == 0 {
		return 0
	}
	slices.Sort(costs)
	sum, filled := costs[0], 1
	for _, cost := range costs[1:] {
		if time.Duration(filled)*cost-sum >= unseen {
			break
		}
		sum += cost
		filled++
	}
	return (unseen + sum) / time.Duration(filled)
}

// pick gives the place of the choice to take: one of those below top, each as likely as it is
// below it, else the cheapest. draw is a number by chance in [0, 1).
//
// Guard: routers that go by the same reports, some hundred milliseconds old, all choose the
// engine that was the least busy then. First events came far later than expected there, behind
// prompts that others had sent meanwhile, while other engines stood idle. What the others have given since the reports goes
// to the engines that looked cheap, up to top; who chooses each as likely as it is below top
// leaves them all equally busy.
func pick(choices []Choice, top time.Duration, draw float64) int {
	best, total := 0, time.Duration(0)
	for i := range choices {
		if choices[i].Cost < choices[best].Cost {
			best = i
		}
		total += choices[i].below(top)
	}
	left := time.Duration(draw * float64(total))
	for i := range choices {
		below := choices[i].below(top)
		if left < below {
			return i
		}
		left -= below
	}
	return best
}

// below is how far a choice lies below top; nothing for an instance that has failed lately.
//
// Guard: what is poured over the instances may reach those that fail or don't answer, whose
// handicap is some tenths of a second. Of 24 routers each then went on to send them requests,
// which hung until their time was over, and the connections that waited used up a host's
// descriptors.
func (c *Choice) below(top time.Duration) time.Duration {
	if c.Candidate.Handicap >= doubtful {
		return 0
	}
	return max(0, top-c.Cost)
}
