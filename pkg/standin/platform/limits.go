package platform

import "golang.org/x/time/rate"

// burstShare is the burst of a rate limit as a share of one second's calls.
const burstShare = 0.1

// limits are the rate limits of Faults.
type limits struct {
	weights *rate.Limiter
	writes  *rate.Limiter
	reads   *rate.Limiter
}

func newLimits(f Faults) limits {
	return limits{
		weights: newLimiter(f.WeightsPerSecond),
		writes:  newLimiter(f.WritesPerSecond),
		reads:   newLimiter(f.ReadsPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1+int(perSecond*burstShare))
}
