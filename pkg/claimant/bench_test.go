package claimant

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

// BenchmarkRound is a claim, its grant and its Done through the decisions alone, beside
// a number of other waiting claims.
func BenchmarkRound(b *testing.B) {
	for _, waiting := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := newFleet(b, Options{})
			m := newMachine(f.claimant, f, f.claimant.options)
			now := time.Now()
			for i := range waiting {
				m.join(now, newTicket(sched.Request{Org: fmt.Sprint(i % 71), Pool: pool}, now))
			}
			m.out.frames = nil
			b.ReportAllocs()
			for b.Loop() {
				t := newTicket(sched.Request{Org: "acme", Pool: pool}, now)
				m.join(now, t)
				m.grant(now, "k1", wire.Grant{ID: t.claim.id, Cell: cellA, Upstream: "u1", TTLMs: 2000})
				m.end(ended{slot: (<-t.answer).slot, outcome: wire.OutcomeServed})
				m.out.frames = nil
			}
		})
	}
}

// BenchmarkFullReport is a whole report of a cell, the dearest turn of the duty.
func BenchmarkFullReport(b *testing.B) {
	for _, waiting := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := newFleet(b, Options{})
			m := newMachine(f.claimant, f, f.claimant.options)
			now := time.Now()
			for i := range waiting {
				m.join(now, newTicket(sched.Request{Org: fmt.Sprint(i % 71), Pool: pool}, now))
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
	*fleet
	buffer wire.Frame
}

func (k *instantKeeper) Send(from wire.RouterID, add func(*wire.Frame)) {
	k.buffer = wire.Frame{Claims: k.buffer.Claims[:0]}
	add(&k.buffer)
	for _, c := range k.buffer.Claims {
		k.grant(from, c, "u1", 0)
	}
}

// BenchmarkAcquire is the same round through the duty and its channels.
func BenchmarkAcquire(b *testing.B) {
	f := newFleet(b, Options{})
	f.claimant = New(f, &instantKeeper{fleet: f}, Options{})
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

// BenchmarkRefuse is what one request of a flood costs.
func BenchmarkRefuse(b *testing.B) {
	f := newFleet(b, Options{OrgQueued: func(string) int { return 0 }})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.claimant.Acquire(b.Context(), sched.Request{Org: "flood", Pool: pool}); err == nil {
			b.Fatal("admitted")
		}
	}
}
