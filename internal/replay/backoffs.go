package replay

import (
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Backoff is a time in which engines turn requests away, and want none from the router that sent one for For.
type Backoff struct {
	From, To time.Duration
	Engines  []int
	For      time.Duration
}

// turnsAway reports whether engine i turns requests away at a time, and for how long it wants none.
func (s Service) turnsAway(i int, at time.Duration) (d time.Duration, away bool) {
	for _, b := range s.Backoffs {
		if at >= b.From && at < b.To && slices.Contains(b.Engines, i) {
			return b.For, true
		}
	}
	return 0, false
}

// turnedAway reports whether the engine that was chosen turns a request away, which the router then learns.
func (w *world) turnedAway(r *Request, at *router, in *upstream.Instance, now time.Time) bool {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.instance == in })
	d, away := w.service.turnsAway(i, now.Sub(epoch))
	if !away {
		return false
	}
	w.result(r.Organisation).TurnedAway++
	at.health.Observe(in.Life(), upstream.Failed, now)
	if w.decisions.Backoffs {
		at.health.RequestBackoff(in.Life(), d, now)
	}
	return true
}
