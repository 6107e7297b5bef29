package handover

import (
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// seek begins a connection to a router that takes p's.
func (r *Relay) seek(p *pair, now time.Time) bool {
	targets := r.eligible(p.target, now)
	for p.tries < mostTries && len(targets) > 0 {
		p.tries++
		to := choose(targets, r.openTo, rand.IntN(len(targets)), rand.IntN(len(targets)))
		fd, err := connect(to.Addr)
		if err != nil {
			targets = without(targets, to.Addr)
			continue
		}
		p.peer, p.target, p.sought, p.connected = fd, to.Addr, now, false
		if r.watch(fd, p) {
			r.account(to.Addr).open++
			r.floor = max(r.floor, to.Config)
			return true
		}
		_ = unix.Close(fd) // nothing was sent
		p.peer = -1
	}
	return false
}

// eligible gives the routers that may take a connection, but for the one at an address.
//
// Guard: routers learn of a new configuration one after the other. Passed on to one that has it and
// then to one that hasn't, a caller of this router would see it taken back.
func (r *Relay) eligible(but string, now time.Time) []Target {
	return slices.DeleteFunc(slices.Clone(r.targets()), func(t Target) bool {
		return t.Addr == but || t.Config < r.floor || r.accounts[t.Addr].silent(quietAfter, now)
	})
}

func (r *Relay) account(addr string) *account {
	a := r.accounts[addr]
	if a == nil {
		a = new(account)
		r.accounts[addr] = a
	}
	return a
}

// openTo is the number of connections that a router has from here.
func (r *Relay) openTo(addr string) int {
	if a := r.accounts[addr]; a != nil {
		return a.open
	}
	return 0
}
