package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

var epoch = time.Unix(1_000_000, 0)

func served(firstMs float64, running int, at time.Time) Sample {
	return Sample{Outcome: wire.OutcomeServed, FirstMs: uint32(firstMs), StepUs: 10_000, Granted: at, Running: running}
}

// The limit stays within [1, maxSlots] for any samples, or at 0 while the upstream is ejected.
func TestLimitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxSlots := rapid.IntRange(1, 40).Draw(t, "maxSlots")
		l := New(rapid.IntRange(1, 40).Draw(t, "slots"), maxSlots)
		now := epoch
		t.Repeat(map[string]func(*rapid.T){"ended": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			granted := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "grantedMsAgo")) * time.Millisecond)
			for range rapid.IntRange(1, 50).Draw(t, "requests") {
				l.Record(Sample{
					Outcome: wire.Outcome(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4}).Draw(t, "outcome")),
					FirstMs: rapid.Uint32().Draw(t, "firstMs"), StepUs: rapid.Uint32().Draw(t, "stepUs"),
					Org: "a", Granted: granted, Running: rapid.IntRange(0, 50).Draw(t, "running"),
				}, now)
			}
			n := l.Limit(now)
			if at, ejected := l.ProbeAt(now); ejected {
				if n != 0 || at.Sub(now) > maxBackoff {
					t.Fatalf("limit %d, ejected for %v; want 0 and at most the maximum backoff", n, at.Sub(now))
				}
			} else if n < 1 || n > maxSlots {
				t.Fatalf("limit %d not in [1, %d]", n, maxSlots)
			}
		}})
	})
}

// Latency varies by half in both directions because prompts vary. A limit that shrinks on
// this noise idles the engine; it must still reach its upper bound.
func TestNoiseDoesNotShrink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(8, 16)
		factors := rapid.SliceOfN(rapid.Float64Range(0.5, 1.5), 64, 64).Draw(t, "factors")
		for i := range 2000 {
			l.Record(served(200*factors[i%64], l.Limit(epoch), epoch), epoch)
			if i > 400 && l.Limit(epoch) != 16 {
				t.Fatalf("limit %d after %d samples", l.Limit(epoch), i)
			}
		}
	})
}

// An engine queues requests inside once more than 12 run, and time to first token rises
// with each further one. The limit must stay near 12, since the fair order has no effect on
// a queue inside the engine.
func TestLimitFindsKnee(t *testing.T) {
	const knee = 12
	l := New(4, 64)
	for i := range 20_000 {
		n := l.Limit(epoch)
		first := 100.0
		if n > knee {
			first += 300 * float64(n-knee) / knee
		}
		l.Record(served(first, n, epoch), epoch)
		if i > 2000 && (n < knee*3/4 || n > knee*2) {
			t.Fatalf("limit %d after %d samples, knee %d", n, i, knee)
		}
	}
}

// An engine becomes three times slower permanently. Its limit shrinks at first; then the
// new latency becomes the baseline, and the limit must not stay at one slot.
func TestSlowUpstreamShrinksThenRecovers(t *testing.T) {
	l := New(8, 8)
	run := func(n int, ms float64) (lowest int) {
		lowest = 8
		for range n {
			l.Record(served(ms, l.Limit(epoch), epoch), epoch)
			lowest = min(lowest, l.Limit(epoch))
		}
		return lowest
	}
	run(200, 100)
	if lowest := run(200, 300); lowest > 4 {
		t.Fatalf("limit %d on a slow engine", lowest)
	}
	run(2000, 300)
	if l.Limit(epoch) != 8 {
		t.Fatalf("limit %d after the latency stayed constant, want 8", l.Limit(epoch))
	}
}

// An engine crashes under eight requests, stays unreachable for a while, and crashes again
// when probed. Eight reports of one crash count once; each further crash doubles the
// backoff; a probe is a single request, and its success restores all slots.
func TestDeathAndProbe(t *testing.T) {
	l := New(8, 0)
	crash := Sample{Outcome: wire.OutcomeDied, Granted: epoch}
	now := epoch
	for range 8 {
		l.Record(crash, now)
	}
	wait := minBackoff
	for range 10 {
		at, ejected := l.ProbeAt(now)
		if !ejected || l.Limit(now) != 0 || at.Sub(now) != wait {
			t.Fatalf("ejected %v, backoff %v; want ejected, backoff %v", ejected, at.Sub(now), wait)
		}
		now = at
		if l.Limit(now) != 1 || !l.Probing(now) {
			t.Fatalf("limit %d during the probe, want 1", l.Limit(now))
		}
		l.Record(Sample{Outcome: wire.OutcomeDied, Granted: now}, now)
		wait = min(2*wait, maxBackoff)
	}
	now = now.Add(maxBackoff)
	l.Record(served(100, 1, now), now)
	l.Record(crash, now) // a late report of the first crash
	if l.Limit(now) != 8 {
		t.Fatalf("limit %d after a successful probe, want 8", l.Limit(now))
	}
}

// All requests of one organisation fail through their own fault. Ejecting the upstream
// would punish the others; consecutive failures of several organisations do eject it.
func TestFailuresOfOneOrganisation(t *testing.T) {
	l := New(8, 0)
	fail := func(org string) { l.Record(Sample{Org: org, Outcome: wire.OutcomeFailed, Granted: epoch}, epoch) }
	for range 100 {
		fail("a")
	}
	if l.Limit(epoch) != 8 {
		t.Fatal("failures of one organisation ejected the upstream")
	}
	fail("b")
	if l.Limit(epoch) != 0 {
		t.Fatal("failures of several organisations didn't eject the upstream")
	}
}
