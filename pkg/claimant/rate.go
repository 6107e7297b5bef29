package claimant

import (
	"math"
	"time"
)

// rateWindow is the time constant over which departures are averaged.
const rateWindow = 5 * time.Second

// rate estimates departures per second with exponential decay.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time) {
	r.perSecond = r.read(now) + 1/rateWindow.Seconds()
	r.at = now
}

func (r *rate) read(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}
