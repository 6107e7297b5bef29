package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/pkg/booking"
)

// BookingPath is where a router asks the keeper of engines for a booking.
const BookingPath = "/fleet/booking"

// maxBookingBytes bounds a keeper's answer.
const maxBookingBytes = 1 << 10

// Keepers returns the hubs, which keep the calendars of engines, and this router's own address. A
// fleet without hubs has none: there every router hears of all work within one exchange.
func (f *Fleet) Keepers(time.Time) (routers []booking.Router, self string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role.direct {
		return nil, ""
	}
	routers = make([]booking.Router, 0, len(f.role.hubs))
	for _, addr := range f.role.hubs {
		if addr == f.self.Peers {
			routers = append(routers, booking.Router{Addr: addr, Zone: f.self.Zone})
		} else if p := f.peers[addr]; p != nil && p.failures == 0 && !p.starved {
			routers = append(routers, booking.Router{Addr: addr, Zone: p.member.Zone})
		}
	}
	return routers, f.self.Peers
}

// HasKeepers reports whether the fleet has hubs.
func (f *Fleet) HasKeepers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.role.direct && len(f.role.hubs) > 0
}

func (f *Fleet) serveBooking(w http.ResponseWriter, in *http.Request) {
	ask := new(booking.Ask)
	if f.readMessage(w, in, ask) {
		f.writeMessage(w, f.local.Book(*ask))
	}
}

// AskKeeper asks the router at addr for a booking.
func (e *Exchanger) AskKeeper(ctx context.Context, addr string, a booking.Ask) (booking.Answer, error) {
	var answer booking.Answer
	err := e.post(ctx, addr, BookingPath, a, &answer, maxBookingBytes)
	return answer, err
}
