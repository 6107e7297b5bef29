package claimant

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// BenchmarkRound runs a claim, its grant and its Done through the state machine alone,
// beside a number of other waiting claims.
func BenchmarkRound(b *testing.B) {
	for _, waiting := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := newFakeFleet(b, Options{})
			m := newStateMachine(f.claimant, f, f.claimant.options)
			now := time.Now()
			for i := range waiting {
				m.addWaiter(now, newWaiter(sched.Request{Org: fmt.Sprint(i % 71), Pool: pool}, now))
			}
			m.out.frames = nil
			b.ReportAllocs()
			for b.Loop() {
				w := newWaiter(sched.Request{Org: "acme", Pool: pool}, now)
				m.addWaiter(now, w)
				m.handleGrant(now, "k1", wire.Grant{ID: w.claim.id, Cell: cellA, Upstream: "u1", TTLMs: 2000})
				m.release(doneEvent{slot: (<-w.answer).slot, outcome: wire.OutcomeServed})
				m.out.frames = nil
			}
		})
	}
}

// BenchmarkFullReport builds a full report of a cell, the most expensive step of the event
// loop.
func BenchmarkFullReport(b *testing.B) {
	for _, waiting := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := newFakeFleet(b, Options{})
			m := newStateMachine(f.claimant, f, f.claimant.options)
			now := time.Now()
			for i := range waiting {
				m.addWaiter(now, newWaiter(sched.Request{Org: fmt.Sprint(i % 71), Pool: pool}, now))
			}
			for b.Loop() {
				m.out.frames = nil
				m.cells[cellA].needFull = true
				m.sendReport(now, m.cells[cellA])
			}
		})
	}
}

// instantKeeper grants each claim as it is sent.
type instantKeeper struct {
	*fakeFleet
	buffer wire.Frame
}

func (k *instantKeeper) Send(from wire.RouterID, add func(*wire.Frame)) {
	k.buffer = wire.Frame{Claims: k.buffer.Claims[:0]}
	add(&k.buffer)
	for _, c := range k.buffer.Claims {
		k.grant(from, c, "u1", 0)
	}
}

// BenchmarkAcquire runs the same round through the event loop and its channels.
func BenchmarkAcquire(b *testing.B) {
	f := newFakeFleet(b, Options{})
	f.claimant = New(f, &instantKeeper{fakeFleet: f}, Options{})
	go f.claimant.Run(b.Context())
	b.ReportAllocs()
	for b.Loop() {
		s, err := f.claimant.Acquire(b.Context(), sched.Request{Org: "acme", Pool: pool})
		if err != nil || !s.Start() {
			b.Fatal("no slot", err)
		}
		s.Done(wire.OutcomeServed, 10, 0, 0)
	}
}

// BenchmarkRefuse runs the refusal of one request of a flood.
func BenchmarkRefuse(b *testing.B) {
	f := newFakeFleet(b, Options{MaxQueuedPerOrg: func(string) int { return 0 }})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.claimant.Acquire(b.Context(), sched.Request{Org: "flood", Pool: pool}); err == nil {
			b.Fatal("admitted, want a refusal")
		}
	}
}
