package keeper

import (
	"slices"
	"time"
)

const (
	// paceEvery is the window over which upstreams are compared.
	paceEvery = time.Second
	// slowPart is how far under the median an upstream's pace is slow.
	slowPart = 4
	// slowWindows is the number of slow windows in a row that take an upstream out.
	slowWindows = 2
	// leastCompared is the number of upstreams without which none is compared.
	leastCompared = 4
)

// pace is how fast work on one upstream advances, as the routers report it.
type pace struct {
	best  float64 // units a second of the fastest request in this window
	org   string
	mixed bool // requests of more than one organisation advanced
	slow  int  // slow windows in a row
}

func (p *pace) add(org string, perSecond float64) {
	p.mixed = p.mixed || (p.org != "" && p.org != org)
	p.org = org
	p.best = max(p.best, perSecond)
}

// advance notes that a running request was reported with this cost.
func (s *slot) advance(cost float64, now time.Time) {
	if s.cost > 0 && cost > s.cost {
		if dt := now.Sub(s.advanced).Seconds(); dt > 0 {
			s.upstream.pace.add(s.org, (cost-s.cost)/dt)
		}
	}
	if cost > s.cost {
		s.advanced = now
	}
}

// comparePaces takes out upstreams that are far slower than most of the cell.
//
// The failure it guards against: an engine becomes ten times as slow. The limiter learns
// from work that ends, and there it hardly does, so every slot that ends is filled anew;
// it shows in answers that take ten times as long, for as long as the engine stays slow.
// The fastest request counts, and of two organisations, since a caller that reads slowly
// slows its own down. An upstream that is probed is judged by the probe alone; a slow
// probe takes it out for twice as long. Against the median no more than half can be slow.
func (k *Keeper) comparePaces(now time.Time) {
	if now.Before(k.comparePacesAt) {
		return
	}
	k.comparePacesAt = now.Add(paceEvery)
	var seen []float64
	for _, u := range k.ranked {
		if u.pace.best > 0 {
			seen = append(seen, u.pace.best)
		}
	}
	if len(seen) >= leastCompared {
		slices.Sort(seen)
		for _, u := range k.ranked {
			u.judge(seen[len(seen)/2]/slowPart, now)
		}
	}
	for _, u := range k.ranked {
		u.pace = pace{slow: u.pace.slow}
	}
}

func (u *upstream) judge(least float64, now time.Time) {
	p := &u.pace
	if p.best == 0 || !(p.mixed || u.limiter.Probing(now)) {
		return
	}
	if p.best >= least {
		p.slow = 0
		return
	}
	if p.slow++; p.slow >= slowWindows {
		u.limiter.Eject(now)
		p.slow = 0
	}
}
