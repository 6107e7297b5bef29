package claimant

import (
	"slices"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A router is paused or receives a grant late, while the keeper considers the grant expired
// and gives the slot to another request. The router must not run its request on that slot:
// it returns the grant unused, and the request waits on with its age.
func TestLateGrantIsGivenBackAndClaimedAgain(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		old := f.claim("k1")
		advance(ttl)
		f.take("k1")
		f.grant("k1", old, "u1", 0)
		frame := f.take("k1")
		check(t, len(frame.Dones) == 1 && frame.Dones[0].ID == old.ID && frame.Dones[0].Outcome == wire.OutcomeUnused, "dones %+v, want one unused of the old claim", frame.Dones)
		check(t, len(frame.Claims) == 1 && frame.Claims[0].ID != old.ID && frame.Claims[0].AgeMs == 2000, "claims %+v, want a new one with its age", frame.Claims)
		mustWait(t, done)
		f.grant("k1", frame.Claims[0], "u1", 0)
		mustSlot(t, done)
	})
}

// If a grant's TTL counted from the claim's first copy alone, each claim that waits longer
// than the TTL would find its grant expired, and on a busy fleet it would wait for ever.
// The grant names the newest report that the keeper had; its sending counts, but only if
// this keeper can have received that report.
func TestGrantCountsFromTheEchoedReport(t *testing.T) {
	cases := []struct {
		name string
		echo func(last uint64) uint64
		used bool
	}{
		{"newest report", func(last uint64) uint64 { return last }, true},
		{"report older than the TTL", func(last uint64) uint64 { return last - 4 }, false},
		{"report never sent", func(last uint64) uint64 { return last + reportLogSize }, false},
		{"no report", func(uint64) uint64 { return 0 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, Options{}, func(t *testing.T, f *fakeFleet) {
				done := f.acquire(t.Context(), request("acme"))
				claim := f.claim("k1")
				advance(10 * time.Second)
				reports := f.take("k1").Reports
				f.grant("k1", claim, "u1", c.echo(reports[len(reports)-1].Seq))
				if c.used {
					mustSlot(t, done)
					return
				}
				f.done("k1", claim.ID, wire.OutcomeUnused)
				mustWait(t, done)
			})
		})
	}
}

// The report went to the former keeper, so an echo of its number by the new keeper (from an
// earlier incarnation) says nothing about when the grant was made.
func TestEchoOfAReportToAnotherKeeperDoesNotCount(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		f.acquire(t.Context(), request("acme"))
		claim := f.claim("k1")
		advance(10 * time.Second)
		reports := f.take("k1").Reports
		last := reports[len(reports)-1].Seq
		f.setKeeper(cellA, "k2")
		f.take("k2")
		f.grant("k1", claim, "u1", last+1)
		f.done("k1", claim.ID, wire.OutcomeUnused)
	})
}

// A router is paused between the arrival of a grant and the first byte of the request, and
// the slot is given away meanwhile. Start must fail, and the slot be returned once, whether
// the caller or the event loop notices first.
func TestStartFailsAfterAPause(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		claim := f.claim("k1")
		f.grant("k1", claim, "u1", 0)
		s := mustSlot(t, done)
		advance(ttl + time.Millisecond)
		check(t, !s.Start(), "started on an expired grant")
		f.done("k1", claim.ID, wire.OutcomeUnused)
		s.Done(wire.OutcomeUnused, 0, 0, 0)
		if d := f.take("k1").Dones; len(d) != 0 {
			t.Fatalf("released twice: %+v", d)
		}
	})
}

// A started request runs longer than the TTL of its grant. The event loop must not treat
// the slot as expired, or the keeper would give it away while the request runs.
func TestStartedSlotOutlivesItsGrant(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		s := mustSlot(t, done)
		check(t, s.Start(), "the slot can't be started")
		advance(10 * ttl)
		if d := f.take("k1").Dones; len(d) != 0 {
			t.Fatalf("reclaimed while the request runs: %+v", d)
		}
	})
}

// An operator takes an upstream out of service between the grant and the first byte, or
// before the grant arrives. Nothing may be sent there, and the next claim excludes it.
func TestNothingStartsOnAnUpstreamThatLeft(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		s := mustSlot(t, done)
		f.setDown("u1")
		check(t, !s.Start(), "started on an upstream that is out of service")
		f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		frame := f.take("k1")
		if len(frame.Dones) != 1 || len(frame.Claims) != 1 || !slices.Equal(frame.Claims[0].Exclude, []string{"u1"}) {
			t.Fatalf("dones %+v, claims %+v; want one each and u1 excluded", frame.Dones, frame.Claims)
		}
		f.grant("k1", frame.Claims[0], "gone", 0)
		if frame = f.take("k1"); len(frame.Dones) != 1 || len(frame.Claims) != 0 {
			t.Fatalf("dones %+v, claimed again without backoff: %+v", frame.Dones, frame.Claims)
		}
	})
}
