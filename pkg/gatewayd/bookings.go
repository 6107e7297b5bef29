package gatewayd

import (
	"time"

	"github.com/apex/log"

	"github.com/flamingowind/flamingowind/pkg/booking"
	"github.com/flamingowind/flamingowind/pkg/fleet"
	"github.com/flamingowind/flamingowind/pkg/status"
)

// bookingFleet asks other routers for turns at engines.
type bookingFleet struct {
	*fleet.Fleet
	*fleet.Exchanger
}

// bookingStats reports what came of this router's asks for turns, and how many it was asked.
type bookingStats struct {
	client *booking.Client
	book   *booking.Book
	last   booking.Stats
	kept   int64
	log    log.Interface
}

// status returns the sums for the status page.
func (b *bookingStats) status() status.Bookings {
	s := b.client.Stats()
	return status.Bookings{AtOnce: s.AtOnce, Later: s.Later, NoRoom: s.NoRoom, Unanswered: s.Unanswered, Unasked: s.Unasked,
		Decided: b.book.Decided(), Calendars: b.book.Calendars()}
}

func (b *bookingStats) report() {
	all, kept := b.client.Stats(), b.book.Decided()
	s, decided := all.Since(b.last), kept-b.kept
	if s.Asks()+decided == 0 {
		return
	}
	b.last, b.kept = all, kept
	mean := func(sum time.Duration, n int64) int64 { return sum.Milliseconds() / max(1, n) }
	b.log.WithFields(log.Fields{"event": "bookings", "at_once": s.AtOnce, "later": s.Later, "no_room": s.NoRoom, "unanswered": s.Unanswered, "unasked": s.Unasked,
		"delay_ms": mean(s.Delayed, s.Later), "answer_ms": mean(s.Waited, s.Asks()), "decided": decided, "calendars": b.book.Calendars()}).Info("turns at engines were booked")
}
