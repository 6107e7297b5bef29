package keeper

import (
	"slices"
	"time"
)

const (
	// speedWindow is the interval over which the speeds of upstreams are compared.
	speedWindow = time.Second
	// slowFactor is how many times slower than the median an upstream must be to count as
	// slow.
	slowFactor = 4
	// maxSlowWindows is the number of consecutive slow windows after which an upstream is
	// ejected.
	maxSlowWindows = 2
	// minCompared is the smallest number of upstreams that are compared.
	minCompared = 4
)

// speed is how fast requests on one upstream progress in the current window, as the routers
// report it.
type speed struct {
	fastest   float64 // units per second of the fastest request
	org       string
	mixed     bool // requests of more than one organisation progressed
	slowCount int  // consecutive slow windows
}

func (p *speed) add(org string, perSecond float64) {
	p.mixed = p.mixed || (p.org != "" && p.org != org)
	p.org = org
	p.fastest = max(p.fastest, perSecond)
}

// recordProgress adds the speed since the slot's last reported cost to its upstream's
// speed.
func (s *slot) recordProgress(cost float64, now time.Time) {
	if s.cost > 0 && cost > s.cost {
		if dt := now.Sub(s.advancedAt).Seconds(); dt > 0 {
			s.upstream.speed.add(s.org, (cost-s.cost)/dt)
		}
	}
	if cost > s.cost {
		s.advancedAt = now
	}
}

// ejectSlowUpstreams ejects upstreams that are far slower than most of the cell.
//
// The failure it guards against: an engine becomes ten times slower. The limiter learns
// only from requests that end, which are few there, and every slot that ends is filled
// again: for as long as the engine stays slow its responses take ten times as long. The
// fastest request counts, and only with requests of two organisations, since a caller that
// reads slowly slows down its own requests. An upstream that is probed is judged by the
// probe alone; a slow probe doubles its backoff. Against the median at most half of the
// upstreams can be slow.
func (k *Keeper) ejectSlowUpstreams(now time.Time) {
	if now.Before(k.compareSpeedsAt) {
		return
	}
	k.compareSpeedsAt = now.Add(speedWindow)
	var speeds []float64
	for _, u := range k.declared {
		if u.speed.fastest > 0 {
			speeds = append(speeds, u.speed.fastest)
		}
	}
	if len(speeds) >= minCompared {
		slices.Sort(speeds)
		for _, u := range k.declared {
			u.checkSpeed(speeds[len(speeds)/2]/slowFactor, now)
		}
	}
	for _, u := range k.declared {
		u.speed = speed{slowCount: u.speed.slowCount}
	}
}

func (u *upstream) checkSpeed(minSpeed float64, now time.Time) {
	p := &u.speed
	if p.fastest == 0 || !(p.mixed || u.limiter.Probing(now)) {
		return
	}
	if p.fastest >= minSpeed {
		p.slowCount = 0
		return
	}
	if p.slowCount++; p.slowCount >= maxSlowWindows {
		u.limiter.Eject(now)
		p.slowCount = 0
	}
}
