package gateway

import (
	"time"

	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// patienceShare is the part of a route's objective for which a request waits for a keeper's answer.
const patienceShare = 0.05

// takesTurns reports whether the request's prompt is booked before it is sent. A router without CPU
// to spare doesn't ask: it would see every answer too late.
func (g *Gateway) takesTurns(r *request) bool {
	if g.bookings == nil || r.isCall() || r.bound || g.settings.Load().Disabled.Bookings || g.cpuStarved() {
		return false
	}
	return r.route.Objective > 0 && g.catalog.Table().MaxPause(r.service.Name) > 0 && g.bookings.HasKeepers()
}

// book asks for a turn at one of the engines that are nearly as cheap as the chosen one.
func (g *Gateway) book(r *request, req *placement.Request, found placement.Decision) (placement.Choice, *verdict.Error) {
	maxPause := g.catalog.Table().MaxPause(r.service.Name)
	ask := booking.Ask{MaxPauseMs: booking.Millis(maxPause), OverShare: req.Limits.OverShare, Offers: make([]booking.Offer, 0, len(found.Near))}
	for i := range found.Near {
		ask.Offers = append(ask.Offers, offer(req, found.Near[i]))
	}
	patience := time.Duration(patienceShare * float64(r.route.Objective))
	result := g.bookings.Book(r.ctx, found.Choice.Candidate.Instance.Zone, ask, patience)
	g.metrics.bookings.count(bookingOutcome(result), shareTag(req.Limits.OverShare))
	r.logRecord.placement.Keeper = result.Keeper
	switch {
	case !result.Asked:
		return found.Choice, nil
	case result.Answer.Offer == booking.None && req.Limits.OverShare:
		return placement.Choice{}, errUpstreamsFull(bookedRetryAfter(result.Answer))
	case result.Answer.Offer == booking.None:
		return found.Choice, nil
	}
	choice := found.Near[result.Answer.Offer]
	choice.Hold = result.Answer.Delay()
	return choice, nil
}

func offer(req *placement.Request, c placement.Choice) booking.Offer {
	life, cost := c.Candidate.Instance.Life(), c.Cost-c.Queue
	if !c.Candidate.Connected {
		cost += req.ConnectCost
	}
	return booking.Offer{Instance: string(life.ID), Life: life.Start, CostMs: booking.Millis(cost), QueueMs: booking.Millis(c.Queue),
		MaxWaitMs: booking.Millis(req.Limits.MaxQueue(c)), PrefillMs: booking.Millis(c.Prefill)}
}

// bookedRetryAfter is the time after which a request that no engine has room for may find some.
func bookedRetryAfter(a booking.Answer) time.Duration {
	return max(transientRetryAfter, min(a.Delay(), maxBookedRetryAfter))
}

// maxBookedRetryAfter bounds the time that a refused caller is told: runs are planned no further
// ahead.
const maxBookedRetryAfter = time.Second

// Outcomes of asks, as the metrics name them.
const (
	bookedAtOnce    = "at_once"
	bookedLater     = "later"
	bookedNone      = "no_room"
	bookingUnasked  = "no_keeper"
	bookingNoAnswer = "no_answer"
)

// Standings of organisations, as the metrics name them.
const (
	shareWithin = "within"
	shareOver   = "over"
)

func shareTag(over bool) string {
	if over {
		return shareOver
	}
	return shareWithin
}

func bookingOutcome(r booking.Result) string {
	switch {
	case r.Keeper == "":
		return bookingUnasked
	case !r.Asked:
		return bookingNoAnswer
	case r.Answer.Offer == booking.None:
		return bookedNone
	case r.Answer.DelayMs > 0:
		return bookedLater
	}
	return bookedAtOnce
}

// hold waits until the request's turn. It returns false if the caller leaves or the deadline passes
// meanwhile.
func (r *request) hold(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !r.callerGone() && !r.expired()
	case <-r.ctx.Done():
		return false
	}
}
