package pace

import (
	"math"
	"time"
)

// Times adds up the prefill times of prompts in one life of an engine over the last seconds. Sums
// of several routers add up.
type Times struct {
	// Base is the time that they would take on an engine of the usual speed, in ms.
	Base float64
	// Actual is the time that they took, in ms.
	Actual float64
}

func (s Times) plus(o Times) Times { return Times{Base: s.Base + o.Base, Actual: s.Actual + o.Actual} }

const (
	// decayTime is the time constant with which measurements decay: an engine that slows down is
	// detected after a few prompts, and one that recovers is tried again within half a minute even
	// if nothing is placed there meanwhile.
	decayTime = 10 * time.Second
	// priorMs is the weight of the prior that an engine has the usual speed, in milliseconds of
	// prefill: that of about ten prompts of the usual length, so that one outlier changes little.
	priorMs = 1000
	// minSlowness and maxSlowness bound the estimate. An engine beyond them is left to health
	// checks of its failures.
	minSlowness = 0.5
	maxSlowness = 4.0
)

// slowness is the prefill time of the engine over the usual one.
func (s Times) slowness() float64 {
	return min(maxSlowness, max(minSlowness, (s.Actual+priorMs)/(s.Base+priorMs)))
}

// decayingSum holds Times that decay.
type decayingSum struct {
	times     Times
	updatedAt time.Time
}

func (d *decayingSum) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	f := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	d.times.Base *= f
	d.times.Actual *= f
	d.updatedAt = now
}
