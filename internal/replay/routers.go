package replay

import (
	"math"
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// router is what one router knows of work in progress.
type router struct {
	index   int
	ledger  *placement.LoadTracker
	inflows *placement.Inflows
	health  *upstream.Health
	// free is how many requests it can serve now, as of seen.
	free float64
	seen time.Time
}

// routers take requests by turns, and tell each other of their work at times.
type routers struct {
	list  []*router
	turn  int
	every time.Duration
	told  time.Time
	// serves is how many requests a router can serve in a second, 0 for any number.
	serves float64
	// skew is that of the load.
	skew float64
}

func newRouters(s Service) *routers {
	r := &routers{every: s.Told, serves: s.Serves}
	for i := range max(1, s.Routers) {
		r.list = append(r.list, &router{index: i, free: burst(s.Serves), ledger: placement.NewLoadTracker(), inflows: placement.NewInflows(), health: upstream.NewHealth()})
	}
	return r
}

// uneven is the index in [0, n) at which a part of all that n get is reached, where each gets by its
// number to the power of -skew.
func uneven(n int, skew, part float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
	}
	left := part * total
	for i := range n {
		if left -= math.Pow(float64(i+1), -skew); left < 0 {
			return i
		}
	}
	return n - 1
}

const (
	// passingCost is what passing a request on takes of serving one.
	passingCost = 0.25
	// burstTime is how long a router can save up processor.
	burstTime = 100 * time.Millisecond
)

func burst(serves float64) float64 { return max(1, serves*burstTime.Seconds()) }

// spend takes processor for so many requests; false when there is none.
func (r *routers) spend(one *router, requests float64, now time.Time) bool {
	if r.serves == 0 {
		return true
	}
	if !one.seen.IsZero() {
		one.free = min(burst(r.serves), one.free+r.serves*now.Sub(one.seen).Seconds())
	}
	one.seen = now
	if one.free < requests {
		return false
	}
	one.free -= requests
	return true
}

// take gives the router that serves a request: the one that it came to, or another when that one
// has no processor left and requests are handed over; nil for none.
func (r *routers) take(req *Request, handOver bool, now time.Time) *router {
	at := r.next(now)
	switch {
	case req.crowd:
		at = r.list[0]
	case req.caller >= 0:
		at = r.list[uneven(len(r.list), r.skew, req.caller)]
	}
	if r.spend(at, 1, now) {
		return at
	}
	if !handOver || !r.spend(at, passingCost, now) {
		return nil
	}
	for range r.list {
		if other := r.next(now); other != at && r.spend(other, 1, now) {
			return other
		}
	}
	return nil
}

// next gives the router whose turn it is, after they told each other if it was time.
func (r *routers) next(now time.Time) *router {
	if len(r.list) > 1 && now.Sub(r.told) >= r.every {
		r.exchange(now)
	}
	r.turn = (r.turn + 1) % len(r.list)
	return r.list[r.turn]
}

func (r *routers) exchange(now time.Time) {
	r.told = now
	for _, one := range r.list {
		loads := make(map[upstream.Life]placement.Load)
		var total placement.Inflow
		for _, other := range r.list {
			if other == one {
				continue
			}
			for life, l := range other.ledger.Own() {
				loads[life] = plus(loads[life], l)
			}
			of := other.inflows.Own(now)["llm"]
			total.Rate += of.Rate
			total.OverShare += of.OverShare
		}
		one.ledger.SetOthers(loads)
		one.inflows.SetOthers(map[string]placement.Inflow{"llm": total}, now)
	}
}

func plus(a, b placement.Load) placement.Load {
	return placement.Load{Running: a.Running + b.Running, PrefillTokens: a.PrefillTokens + b.PrefillTokens, KVTokens: a.KVTokens + b.KVTokens,
		PauseWeight: a.PauseWeight + b.PauseWeight, LongPrompts: a.LongPrompts + b.LongPrompts}
}
