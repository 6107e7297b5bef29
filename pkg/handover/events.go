package handover

import (
	"golang.org/x/sys/unix"

	"github.com/flamingowind/flamingowind/internal/nowait"
)

// pairEvent is an event on one of a pair's sockets.
type pairEvent struct {
	pair  *pair
	event unix.EpollEvent
}

// drainEvents returns all events since the last poll, after recording the hangups among them.
//
// A caller may disconnect while its request waits here for the CPU. If the request were relayed
// before the hangup is seen, it would reach an engine.
func (r *Relay) drainEvents() []pairEvent {
	r.drained = r.drained[:0]
	for {
		n, err := nowait.Events(r.epoll, r.events)
		if err != nil || n <= 0 {
			return r.drained
		}
		for _, e := range r.events[:n] {
			if p := r.pairs[e.Fd]; p != nil {
				p.noteHangup(e)
				r.drained = append(r.drained, pairEvent{pair: p, event: e})
			}
		}
		if n < maxEvents {
			return r.drained
		}
	}
}
