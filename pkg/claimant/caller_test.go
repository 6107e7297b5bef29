package claimant

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/sched"
	"github.com/flamingowind/flamingowind/pkg/verdict"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func TestDeadlineAnswersAtOnceAndWithdrawsTheClaim(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		start := time.Now()
		done := f.acquire(t.Context(), sched.Request{Org: "acme", Deadline: start.Add(3 * time.Second)})
		claim := f.claim("k1")
		check(t, claim.WaitMs == 3000, "the claim has a wait of %d ms, want 3000", claim.WaitMs)
		r := <-done
		if e := verdict.From(r.err); e.Code != verdict.CodeDeadline || e.Verdict != verdict.NotRun || e.RetryAfter <= 0 {
			t.Fatalf("got %v, retry after %v; want a passed deadline, not-run and a retry time", e, e.RetryAfter)
		}
		if waited := time.Since(start); waited != 3*time.Second {
			t.Fatalf("answered after %v, want 3 s", waited)
		}
		if c := f.take("k1").Cancels; len(c) != 1 || c[0].ID != claim.ID {
			t.Fatalf("cancels %+v, want one of the claim", c)
		}
		f.grant("k1", claim, "u1", 0)
		f.done("k1", claim.ID, wire.OutcomeUnused)
		for range 20 {
			mustFail(t, f.acquire(t.Context(), sched.Request{Org: "acme", Pool: pool, Deadline: time.Now()}), verdict.CodeDeadline)
		}
		if c := f.take("k1").Claims; len(c) != 0 {
			t.Fatalf("claims sent after the deadline: %+v", c)
		}
		late, stop := context.WithTimeout(t.Context(), 0)
		defer stop()
		mustFail(t, f.acquire(late, request("acme")), verdict.CodeDeadline)
		gone, cancel := context.WithCancel(t.Context())
		done = f.acquire(gone, request("acme"))
		mustWait(t, done)
		cancel()
		mustFail(t, done, verdict.CodeCanceled)
	})
}

// A caller goes away at the moment the grant arrives. Whichever comes first, the slot must
// be returned exactly once, or it stays occupied with nothing to run.
func TestCallerGoesAsTheGrantArrives(t *testing.T) {
	t.Run("caller first", func(t *testing.T) {
		run(t, Options{}, func(t *testing.T, f *fakeFleet) {
			m := newStateMachine(f.claimant, f, f.claimant.options)
			w := newWaiter(request("acme"), time.Now())
			m.addWaiter(time.Now(), w)
			w.leave()
			claim := m.out.to("k1").Claims[0]
			m.handleGrant(time.Now(), "k1", wire.Grant{ID: claim.ID, Cell: cellA, Upstream: "u1", TTLMs: 2000})
			m.removeWaiter(w)
			if d := m.out.to("k1").Dones; len(d) != 1 || d[0].Outcome != wire.OutcomeUnused {
				t.Fatalf("dones %+v, want one unused", d)
			}
		})
	})
	t.Run("grant first", func(t *testing.T) {
		run(t, Options{}, func(t *testing.T, f *fakeFleet) {
			w := newWaiter(request("acme"), time.Now())
			f.claimant.sendEvent(joinEvent{w})
			claim := f.claim("k1")
			f.grant("k1", claim, "u1", 0)
			f.take("k1")
			f.claimant.giveUp(w, deadlinePassed(time.Second))
			f.done("k1", claim.ID, wire.OutcomeUnused)
		})
	})
}

// Grant and cancellation race at full speed: every slot must end either with the caller or
// back at the keeper.
func TestNoSlotIsLeakedUnderCancelRaces(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		const rounds = 200
		var wg sync.WaitGroup
		ends := 0
		for range rounds {
			ctx, cancel := context.WithCancel(t.Context())
			done := f.acquire(ctx, request("acme"))
			claim := f.claim("k1")
			wg.Go(func() { f.grant("k1", claim, "u1", 0) })
			wg.Go(cancel)
			wg.Wait()
			if r := <-done; r.err == nil {
				r.slot.Done(wire.OutcomeCanceled, 0, 0, 0)
			}
			ends += len(f.take("k1").Dones)
		}
		check(t, ends == rounds, "%d slots released of %d", ends, rounds)
	})
}

func TestDrainRefusesNewAndServesWaiting(t *testing.T) {
	run(t, Options{Entries: func() []string { return []string{"10.0.0.9:80"} }}, func(t *testing.T, f *fakeFleet) {
		done := f.acquire(t.Context(), request("acme"))
		claim := f.claim("k1")
		f.claimant.Drain()
		if e := mustFail(t, f.acquire(t.Context(), request("acme")), verdict.CodeDraining); len(e.Entries) != 1 {
			t.Fatalf("entries %v, want one", e.Entries)
		}
		f.grant("k1", claim, "u1", 0)
		mustSlot(t, done)
	})
}

func TestWaitingCallersAreAnsweredWhenTheDutyStops(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		f.claimant = New(f, f, Options{})
		ctx, cancel := context.WithCancel(t.Context())
		go f.claimant.Run(ctx)
		done := f.acquire(t.Context(), request("acme"))
		mustWait(t, done)
		cancel()
		mustFail(t, done, verdict.CodeDraining)
		mustFail(t, f.acquire(t.Context(), request("acme")), verdict.CodeDraining)
	})
}

func TestUnknownPoolOrKeeperIsRefusedAtOnce(t *testing.T) {
	run(t, Options{}, func(t *testing.T, f *fakeFleet) {
		mustFail(t, f.acquire(t.Context(), sched.Request{Org: "acme", Pool: "none"}), verdict.CodeNoUpstream)
		f.mu.Lock()
		clear(f.keepers)
		f.mu.Unlock()
		mustFail(t, f.acquire(t.Context(), request("acme")), verdict.CodeNoUpstream)
	})
}

// One organisation floods a router. Its surplus must be refused at once, as not run, with
// a retry time that follows from how fast its queue drains. Others must still be admitted,
// also when several organisations flood together.
func TestFloodIsBoundedAndOthersGetIn(t *testing.T) {
	run(t, Options{MaxQueued: 64, MaxQueuedPerOrg: func(string) int { return 40 }}, func(t *testing.T, f *fakeFleet) {
		for range 200 {
			f.acquire(t.Context(), request("flood"))
			f.acquire(t.Context(), request("flood2"))
		}
		claims := f.take("k1").Claims
		check(t, len(claims) < 64 && f.claimant.Waiting() == len(claims), "%d claims and %d waiting requests; want the same number, below 64", len(claims), f.claimant.Waiting())
		other := f.acquire(t.Context(), request("acme"))
		f.grant("k1", f.claim("k1"), "u1", 0)
		mustSlot(t, other)
		if e := mustFail(t, f.acquire(t.Context(), request("flood")), verdict.CodeOverloaded); e.RetryAfter != unknownRetry {
			t.Fatalf("retry after %v with an unknown drain rate", e.RetryAfter)
		}
	})
}

func TestRetryAfterFollowsTheDrainRate(t *testing.T) {
	g := newAdmission(1000, func(string) int { return 20 })
	now := time.Unix(0, 0)
	for range 20 {
		g.enter("acme", now)
	}
	for range 200 { // 10 a second for 20 s
		now = now.Add(100 * time.Millisecond)
		g.leave("acme", true, now)
		g.enter("acme", now)
	}
	retry, ok := g.enter("acme", now)
	check(t, !ok && retry >= 1900*time.Millisecond && retry <= 2300*time.Millisecond, "admitted %t, retry after %v; want refused and about 2.1 s", ok, retry)
	if later, _ := g.enter("acme", now.Add(time.Minute)); later != maxRetry {
		t.Fatalf("retry after %v when the queue no longer drains", later)
	}
}

// The keeper in the same process delivers a message while the claimant's event loop is
// blocked delivering messages to it. If the handlers waited, both would deadlock.
func TestHandlersNeverWait(t *testing.T) {
	c := newFakeFleet(t, Options{}).claimant // no event loop runs
	for range messageQueueSize + 3 {
		c.HandleState("k1", wire.CellState{})
	}
	check(t, c.Dropped() == 3, "%d messages dropped, want 3", c.Dropped())
}
