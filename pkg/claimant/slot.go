package claimant

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// slot implements sched.Slot. The fields up to alone never change once the slot is handed
// out; the event loop owns the others, except the atomic ones.
type slot struct {
	owner     *Claimant
	id        wire.ClaimID
	cell      *cell
	keeper    wire.RouterID // that granted it
	org       string
	upstream  string
	url       string
	expiresAt time.Time
	alone     bool

	// otherKeepers are further keepers that granted this claim on the same upstream; only
	// routers that kept the cell while the claim waited do.
	otherKeepers []wire.RouterID

	started atomic.Bool
	done    atomic.Bool
	units   atomic.Uint64 // service so far, as the bits of a float64

	counted   wire.Units // part of the service that the counters contain
	reported  wire.Units // service in the last report
	listedSeq uint64     // first report since the keeper changed that listed it with all fields; 0 for none
}

// Upstream implements sched.Slot.
func (s *slot) Upstream() string { return s.upstream }

// URL implements sched.Slot.
func (s *slot) URL() string { return s.url }

// Alone reports whether the request must run as the only one on its upstream.
func (s *slot) Alone() bool { return s.alone }

// Start implements sched.Slot.
//
// The failure it guards against: the router is paused while it holds a grant, the keeper
// considers the slot lost and gives it to another request, and the request runs all the
// same, on an upstream that is full or has left. expiresAt counts from a moment before the
// keeper granted, so it passes here before the keeper gives the slot away. started is set
// before the clock is read: the event loop, which reclaims expired slots that were not
// started, then either sees it or has made Start fail. A pause between Start and the first
// byte isn't covered: no check on this side can be.
func (s *slot) Start() bool {
	if s.done.Load() {
		return false
	}
	s.started.Store(true)
	if time.Now().Before(s.expiresAt) && s.owner.directory.Usable(s.upstream) {
		return true
	}
	s.started.Store(false)
	return false
}

// Progress implements sched.Slot.
func (s *slot) Progress(total wire.Units) {
	if math.IsNaN(total) || math.IsInf(total, 0) {
		return
	}
	for {
		old := s.units.Load()
		if total <= math.Float64frombits(old) {
			return
		}
		if s.units.CompareAndSwap(old, math.Float64bits(total)) {
			return
		}
	}
}

// Done implements sched.Slot. Calls after the first do nothing.
func (s *slot) Done(outcome wire.Outcome, cost wire.Units, first, step time.Duration) {
	if s.done.Swap(true) {
		return
	}
	s.Progress(cost)
	s.owner.sendEvent(doneEvent{slot: s, outcome: outcome, firstToken: first, tokenInterval: step})
}

func (s *slot) service() wire.Units { return math.Float64frombits(s.units.Load()) }

// expiredUnused reports whether the grant expired before the caller started: Start can't
// succeed any more.
func (s *slot) expiredUnused(now time.Time) bool {
	return !s.started.Load() && !now.Before(s.expiresAt)
}
