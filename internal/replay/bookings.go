package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/placement"
)

// hold keeps a job until its turn.
func (w *world) hold(j *job) {
	i, _ := slices.BinarySearchFunc(w.held, j, func(a, b *job) int { return cmp.Compare(a.sent, b.sent) })
	w.held = slices.Insert(w.held, i, j)
}

// sendsHeld sends the first job that is held, if its turn comes before the next request and the next
// step of engine e.
func (w *world) sendsHeld(requests []*Request, e *engine) bool {
	if len(w.held) == 0 {
		return false
	}
	j := w.held[0]
	if len(requests) > 0 && requests[0].At < j.sent || e != nil && e.until < j.sent {
		return false
	}
	w.held = w.held[1:]
	w.send(j)
	return true
}

// turn has the keeper of all engines book a turn at one of the cheapest.
func (w *world) turn(req *placement.Request, found placement.Decision, now time.Time) (placement.Choice, bool) {
	ask := booking.Ask{MaxPauseMs: booking.Millis(w.service.MaxPause), OverShare: req.Limits.OverShare}
	for _, c := range found.Near {
		life := c.Candidate.Instance.Life()
		ask.Offers = append(ask.Offers, booking.Offer{Instance: string(life.ID), Life: life.Start, CostMs: booking.Millis(c.Cost - c.Queue),
			QueueMs: booking.Millis(c.Queue), MaxWaitMs: booking.Millis(req.Limits.MaxQueue(c)), PrefillMs: booking.Millis(c.Prefill)})
	}
	answer := w.bookings.Decide(ask, now)
	if answer.Offer == booking.None {
		return found.Choice, !req.Limits.OverShare
	}
	choice := found.Near[answer.Offer]
	choice.Hold = answer.Delay()
	return choice, true
}
