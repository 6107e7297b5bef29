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

// rate is an exponentially weighted rate of events.
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

// perSecond returns the rate; until the first window is over, only the time since its start
// counts.
func (r *rate) perSecond(now time.Time) float64 {
	if r.start.IsZero() {
		return 0
	}
	r.decay(now)
	filled := 1 - math.Exp(-max(now.Sub(r.start).Seconds(), 1)/rateWindow.Seconds())
	return r.sum / (rateWindow.Seconds() * filled)
}

// drainTime returns the time in which n claims drain, from minRetry to maxRetry.
func (r *rate) drainTime(n int, now time.Time) time.Duration {
	perSecond := r.perSecond(now)
	if perSecond <= 0 {
		return time.Second
	}
	seconds := min(float64(n)/perSecond, maxRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetry)
}
