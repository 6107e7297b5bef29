package claimant

import (
	"slices"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A user would see a request run on an engine whose slot the keeper has given to
// another one meanwhile: the router is paused (or the grant is late), the keeper
// writes the grant off, the router wakes and dispatches on it. The grant must count as
// lapsed here, go back unused, and the request wait on with its age.
func TestLateGrantIsGivenBackAndClaimedAgain(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		old := f.claim("k1")
		pass(ttl)
		f.take("k1")
		f.grant("k1", old, "u1", 0)
		frame := f.take("k1")
		check(t, len(frame.Dones) == 1 && frame.Dones[0].ID == old.ID && frame.Dones[0].Outcome == wire.OutcomeUnused, "dones %+v", frame.Dones)
		check(t, len(frame.Claims) == 1 && frame.Claims[0].ID != old.ID && frame.Claims[0].AgeMs == 2000, "claims %+v", frame.Claims)
		mustWait(t, done)
		f.grant("k1", frame.Claims[0], "u1", 0)
		mustSlot(t, done)
	})
}

// A user would wait for ever on a busy fleet: if a grant counted from the claim's
// first copy alone, each claim that waits longer than the grant lives would find its
// grant lapsed. The grant names the newest report the keeper had; that counts, but
// only when it is a report that this keeper can have had.
func TestGrantCountsFromTheEchoedReport(t *testing.T) {
	cases := []struct {
		name string
		echo func(last uint64) uint64
		used bool
	}{
		{"newest report", func(last uint64) uint64 { return last }, true},
		{"report older than the grant lives", func(last uint64) uint64 { return last - 4 }, false},
		{"report never sent", func(last uint64) uint64 { return last + reportLogSize }, false},
		{"no report", func(uint64) uint64 { return 0 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, Options{}, func(t *testing.T, f *fleet) {
				done := f.acquire(t.Context(), request("acme"))
				claim := f.claim("k1")
				pass(10 * time.Second)
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

// As above across a change of keeper: the report went to the former keeper, so the
// new one's echo of that number (from an earlier life) says nothing about its grant.
func TestEchoOfAReportToAnotherKeeperDoesNotCount(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		f.acquire(t.Context(), request("acme"))
		claim := f.claim("k1")
		pass(10 * time.Second)
		reports := f.take("k1").Reports
		last := reports[len(reports)-1].Seq
		f.setKeeper(cellA, "k2")
		f.take("k2")
		f.grant("k1", claim, "u1", last+1)
		f.done("k1", claim.ID, wire.OutcomeUnused)
	})
}

// A user would see a request run on a slot that isn't its own: the router is paused
// between the grant's arrival and the first byte. Start must fail then, and the slot
// go back once, whether the caller or the duty notices first.
func TestStartFailsAfterAPause(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		claim := f.claim("k1")
		f.grant("k1", claim, "u1", 0)
		s := mustSlot(t, done)
		pass(ttl + time.Millisecond)
		check(t, !s.Start(), "started on a lapsed grant")
		f.done("k1", claim.ID, wire.OutcomeUnused)
		s.Done(wire.OutcomeUnused, 0, 0, 0)
		if d := f.take("k1").Dones; len(d) != 0 {
			t.Fatalf("given back twice: %+v", d)
		}
	})
}

// A started request runs longer than its grant lives: the duty must not take it for
// forfeited, or its slot would be given to another while it runs.
func TestStartedSlotOutlivesItsGrant(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		s := mustSlot(t, done)
		check(t, s.Start(), "not started")
		pass(10 * ttl)
		if d := f.take("k1").Dones; len(d) != 0 {
			t.Fatalf("taken back while it runs: %+v", d)
		}
	})
}

// An operator takes an upstream out between the grant and the first byte, or before
// the grant arrives. Nothing may be sent there, and the next claim excludes it.
func TestNothingStartsOnAnUpstreamThatLeft(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fleet) {
		done := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		s := mustSlot(t, done)
		f.setDown("u1")
		check(t, !s.Start(), "started on an upstream that left")
		f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		frame := f.take("k1")
		if len(frame.Dones) != 1 || len(frame.Claims) != 1 || !slices.Equal(frame.Claims[0].Exclude, []string{"u1"}) {
			t.Fatalf("dones %+v, claims %+v", frame.Dones, frame.Claims)
		}
		f.grant("k1", frame.Claims[0], "gone", 0)
		if frame = f.take("k1"); len(frame.Dones) != 1 || len(frame.Claims) != 0 {
			t.Fatalf("dones %+v, claimed again without a pause: %+v", frame.Dones, frame.Claims)
		}
	})
}
