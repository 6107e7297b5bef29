package booking

import (
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// maxCalendars bounds the calendars of a Book: more engines than a zone has.
const maxCalendars = 4096

// Book holds the calendars of the engines that a router is asked about.
type Book struct {
	mu        sync.Mutex
	runShare  float64
	calendars map[upstream.Life]*calendar
	decided   int64
}

// NewBook returns a book with empty calendars. A run lasts for that part of the longest pause.
func NewBook(runShare float64) *Book {
	return &Book{runShare: runShare, calendars: make(map[upstream.Life]*calendar)}
}

// SetRunShare changes the part of the longest pause that a run lasts.
func (b *Book) SetRunShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runShare = share
}

// Decide books the prompt at the engine where it costs least, its wait included. An invalid ask,
// and any ask while turns are switched off here, isn't decided: the prompt is placed without a turn.
//
// This answers a load of prompts that many routers place at the same moment, each of which takes a
// part of the longest pause: all of them see the same engines idle.
func (b *Book) Decide(a Ask, now time.Time) Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.valid() || b.runShare <= 0 {
		return Answer{Offer: notDecided}
	}
	b.decided++
	l := limitsFor(millis(a.MaxPauseMs), b.runShare, a.OverShare)
	best, bestCost, room := None, time.Duration(0), millis(maxMs)
	for i := range a.Offers {
		o := &a.Offers[i]
		c := b.calendar(o)
		delay, _ := c.turn(now, millis(o.PrefillMs), l)
		wait := max(millis(o.QueueMs), c.remaining(now), delay)
		if excess := wait - millis(o.MaxWaitMs); excess > 0 {
			room = min(room, excess)
			continue
		}
		if cost := millis(o.CostMs) + wait; best == None || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best == None {
		return Answer{Offer: None, DelayMs: Millis(room)}
	}
	o := &a.Offers[best]
	return Answer{Offer: best, DelayMs: Millis(b.calendar(o).book(now, millis(o.PrefillMs), l))}
}

func (b *Book) calendar(o *Offer) *calendar {
	life := upstream.Life{ID: upstream.ID(o.Instance), Start: o.Life}
	c := b.calendars[life]
	if c == nil {
		if len(b.calendars) >= maxCalendars {
			clear(b.calendars)
		}
		c = new(calendar)
		b.calendars[life] = c
	}
	return c
}

// Prune removes the calendars whose runs are over.
func (b *Book) Prune(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for life, c := range b.calendars {
		if now.Sub(c.end) > pruneAfter {
			delete(b.calendars, life)
		}
	}
}

// pruneAfter is how long a calendar is kept after its run: longer than any break between two runs.
const pruneAfter = time.Minute

// Decided returns the number of asks that were decided.
func (b *Book) Decided() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decided
}

// Calendars returns the number of engines with a calendar.
func (b *Book) Calendars() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.calendars)
}
