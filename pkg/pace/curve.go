package pace

import (
	"math"
	"time"
)

const (
	// bucketWidth and PauseBuckets divide the prefill times into buckets; the last one holds all
	// longer times.
	bucketWidth  = 100 * time.Millisecond
	PauseBuckets = 16
	// priorPauses is the weight of the prior in a bucket, in pauses.
	priorPauses = 2.0
	// maxPauses is the number of pauses that a bucket remembers at most.
	maxPauses = 30.0
	// maxPauseRatio is the longest pause, relative to the prefill time of the prompt beside it,
	// that is attributed to the prompt.
	maxPauseRatio = 1.3
)

// Pauses holds the pauses of streams beside prompts, by the prefill time of the prompt. Those of
// several routers add up.
type Pauses struct {
	// Ms is the sum of the pauses in each bucket in milliseconds, Count their number.
	Ms    [PauseBuckets]float64
	Count [PauseBuckets]float64
}

func bucketOf(prefill time.Duration) int {
	return min(PauseBuckets-1, max(0, int(prefill/bucketWidth)))
}

// Empty reports whether there are no pauses.
func (p *Pauses) Empty() bool { return p.Count == [PauseBuckets]float64{} }

func (p *Pauses) plus(o *Pauses) Pauses {
	var sum Pauses
	for i := range PauseBuckets {
		sum.Ms[i] = p.Ms[i] + o.Ms[i]
		sum.Count[i] = p.Count[i] + o.Count[i]
	}
	return sum
}

// observe adds the longest pause that was seen beside a prompt.
//
// A stream may also pause for a prompt that another router placed there, or for a lost packet. A
// pause that is much longer than the prefill is ignored.
func (p *Pauses) observe(prefill, pause time.Duration) {
	if float64(pause) > maxPauseRatio*float64(prefill) {
		return
	}
	i := bucketOf(prefill)
	p.Ms[i] += ms(pause)
	p.Count[i]++
	if p.Count[i] > maxPauses {
		p.Ms[i] *= maxPauses / p.Count[i]
		p.Count[i] = maxPauses
	}
}

// valid reports whether all numbers are finite and not negative.
func (p *Pauses) valid() bool {
	for i := range PauseBuckets {
		sum := p.Ms[i] + p.Count[i]
		if p.Ms[i] < 0 || p.Count[i] < 0 || math.IsNaN(sum) || math.IsInf(sum, 0) {
			return false
		}
	}
	return true
}

// Curve is the pause of streams beside a prompt as a part of its prefill time, by buckets of that
// time.
//
// Without measurements the pause is the whole prefill time: streams can't pause for longer. How
// much of it they pause depends on the engine's chunk size and on the tokens in an event, and shows
// only in measured pauses. A bucket without measurements takes the value of the one below it: the
// part can only fall with the length of the prompt.
type Curve [PauseBuckets]float64

// curve estimates the Curve from the pauses.
func (p *Pauses) curve() Curve {
	var c Curve
	part := 1.0
	for i := range PauseBuckets {
		middle := (float64(i) + 0.5) * ms(bucketWidth)
		part = min(1, (p.Ms[i]/middle+priorPauses*part)/(p.Count[i]+priorPauses))
		c[i] = part
	}
	return c
}

// At is the expected pause beside a prompt with that prefill time.
func (c *Curve) At(prefill time.Duration) time.Duration {
	return time.Duration(c[bucketOf(prefill)] * float64(prefill))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
