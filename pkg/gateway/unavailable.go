package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Bounds on the time over which callers return after a backoff. It is half of what is left of the backoff, so
// that they don't all arrive as it ends.
const (
	minReturnSpread = 250 * time.Millisecond
	maxReturnSpread = 2 * time.Second
)

// errUnavailable returns the error for a request whose upstreams have all said that they take none; nil if at
// least one of them has not.
func (g *Gateway) errUnavailable(r *request, now time.Time) *verdict.Error {
	var soonest time.Time
	leaving := false
	for _, in := range g.catalog.Instances().ByService(r.service.Name) {
		if r.bound && in.Software != r.software {
			continue
		}
		if !g.catalog.Placeable(in) {
			leaving = leaving || in.State == upstream.Draining
			continue
		}
		until, pending := g.health.BackoffUntil(in.Life(), now)
		if !pending {
			return nil
		}
		if soonest.IsZero() || until.Before(soonest) {
			soonest = until
		}
	}
	switch {
	case !soonest.IsZero():
		return errAllBackingOff(returnAfter(soonest.Sub(now), rand.Float64()))
	case leaving && !r.bound: // the rest of a stream has errors of its own
		return errAllLeaving()
	}
	return nil
}

// returnAfter returns when a caller should come back after a backoff that lasts for d; random is in [0, 1).
func returnAfter(d time.Duration, random float64) time.Duration {
	spread := min(max(d/2, minReturnSpread), maxReturnSpread)
	return d + time.Duration(random*float64(spread))
}

// errExhausted returns the error for a request that no upstream has run in as many attempts as it may have.
func (g *Gateway) errExhausted(r *request) *verdict.Error {
	if err := g.errUnavailable(r, time.Now()); err != nil {
		return err
	}
	return errUpstreamsFull(transientRetryAfter)
}
