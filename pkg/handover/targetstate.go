package handover

import "time"

const (
	// unresponsiveAfter is how long a router may send nothing on any of its connections before it
	// gets no new ones, abandonAfter how long before its connections are closed if it isn't known to run.
	unresponsiveAfter = 250 * time.Millisecond
	abandonAfter      = 3 * time.Second
)

// targetState is what a relay knows about a router that it hands connections over to.
type targetState struct {
	// openConns is the number of connections from this relay to the router.
	openConns int
	// awaitingSince is the time of the first bytes sent to the router since it last sent any; zero
	// when nothing is awaited.
	awaitingSince time.Time
}

// unresponsive reports whether the router has sent nothing for the given time although it was sent
// bytes.
//
// A router that hangs or is partitioned counts as alive for about a second, and whatever is handed
// over to it meanwhile waits in vain.
func (s *targetState) unresponsive(after time.Duration, now time.Time) bool {
	return s != nil && s.openConns > 0 && !s.awaitingSince.IsZero() && now.Sub(s.awaitingSince) >= after
}

// recordTransfer records bytes sent to the router (up) and received from it (down).
func (s *targetState) recordTransfer(up, down int, now time.Time) {
	switch {
	case s == nil:
	case down > 0:
		s.awaitingSince = time.Time{}
	case up > 0 && s.awaitingSince.IsZero():
		s.awaitingSince = now
	}
}

// SetAlive sets what tells whether the router at an address runs. It is called before connections are handed over.
func (r *Relay) SetAlive(alive func(addr string) bool) { r.alive = alive }

// goneTargets returns the routers whose connections are to be closed. One that is known to run may be silent for
// longer than abandonAfter: the upstreams of all requests that it was handed may be slow to answer.
func (r *Relay) goneTargets(now time.Time) map[string]bool {
	var gone map[string]bool
	for addr, s := range r.targetStates {
		if !s.unresponsive(abandonAfter, now) || r.alive != nil && r.alive(addr) {
			continue
		}
		if gone == nil {
			gone = make(map[string]bool)
		}
		gone[addr] = true
	}
	return gone
}
