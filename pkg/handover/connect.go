package handover

import (
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// connectPeer starts a connection to a router for p. It returns false when no router is left to
// try.
func (r *Relay) connectPeer(p *pair, now time.Time) bool {
	targets := r.eligible(p.target, now)
	for p.attempts < maxAttempts && len(targets) > 0 {
		p.attempts++
		to := choose(targets, r.openConnsTo, rand.IntN(len(targets)), rand.IntN(len(targets)))
		fd, err := startConnect(to.Addr)
		if err != nil {
			targets = without(targets, to.Addr)
			continue
		}
		p.peer, p.target, p.connectStarted, p.connected = fd, to.Addr, now, false
		if r.watch(fd, p) {
			r.stateOf(to.Addr).openConns++
			r.minConfig = max(r.minConfig, to.Config)
			return true
		}
		_ = unix.Close(fd) // nothing was sent
		p.peer = -1
	}
	return false
}

// eligible returns the targets that may get a connection, except the one at the address except.
//
// Routers adopt a new configuration one after the other. If connections went first to a router that
// has it and then to one that hasn't, a caller would see the configuration reverted.
func (r *Relay) eligible(except string, now time.Time) []Target {
	return slices.DeleteFunc(slices.Clone(r.targets()), func(t Target) bool {
		return t.Addr == except || t.Config < r.minConfig || r.targetStates[t.Addr].unresponsive(unresponsiveAfter, now)
	})
}

func (r *Relay) stateOf(addr string) *targetState {
	s := r.targetStates[addr]
	if s == nil {
		s = new(targetState)
		r.targetStates[addr] = s
	}
	return s
}

// openConnsTo returns the number of connections from this relay to a router.
func (r *Relay) openConnsTo(addr string) int {
	if s := r.targetStates[addr]; s != nil {
		return s.openConns
	}
	return 0
}
