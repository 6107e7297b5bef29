package keeper

import (
	"math"
	"time"
)

const (
	rateWindow = 5 * time.Second
	minRetry   = 50 * time.Millisecond
	maxRetry   = 30 * time.Second
)

// rate is the exponentially weighted number of events a second.
type rate struct {
	sum   float64
	last  time.Time
	start time.Time
}

func (r *rate) decay(now time.Time) {
	if dt := now.Sub(r.last); dt > 0 {
		r.sum *= math.Exp(-dt.Seconds() / rateWindow.Seconds())
		r.last = now
	}
}

func (r *rate) add(now time.Time) {
	if r.start.IsZero() {
		r.start, r.last = now, now
	}
	r.decay(now)
	r.sum++
}

// perSecond returns the rate; a window that isn't filled yet counts as far as it goes.
func (r *rate) perSecond(now time.Time) float64 {
	if r.start.IsZero() {
		return 0
	}
	r.decay(now)
	filled := 1 - math.Exp(-max(now.Sub(r.start).Seconds(), 1)/rateWindow.Seconds())
	return r.sum / (rateWindow.Seconds() * filled)
}

// retry returns the time in which n claims drain, within bounds.
func (r *rate) retry(n int, now time.Time) time.Duration {
	per := r.perSecond(now)
	if per <= 0 {
		return time.Second
	}
	seconds := min(float64(n)/per, maxRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetry)
}
