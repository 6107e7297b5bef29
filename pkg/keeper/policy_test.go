package keeper

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Story: one organisation floods the keeper. Its claims are refused with the time to come
// back; another organisation's single claim is let in, although the keeper is full.
func TestFloodRefusesOnlyTheFlooder(t *testing.T) {
	b := newBed(t, Options{MaxWaiting: 100}, engine("u", 1))
	for id := range wire.ClaimID(300) {
		b.claim("r", 1, id, "a")
	}
	refused := len(refusals(b.next()))
	equal(t, 200, refused)
	b.claim("r", 1, 300, "a") // in the place of the one that was granted
	equal(t, 100, b.k.Backlog())
	b.claim("q", 1, 1, "b")
	equal(t, 0, len(refusals(b.next())))
	for id := range wire.ClaimID(50) {
		b.pass(100 * time.Millisecond)
		b.done("r", id, "u", 10)
	}
	for id := range wire.ClaimID(100) {
		b.claim("r", 1, 1000+id, "a")
	}
	out := b.next()
	retry := time.Duration(out[0].Refusal.RetryMs) * time.Millisecond
	if retry < time.Second || retry > maxRetry {
		t.Fatalf("retry after %v", retry)
	}
}

// The parts of all slices sum up to the whole, and differ by at most one slot in all.
func TestSharesSumUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 12).Draw(t, "slices")
		slots := rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "slots")
		sums := make([]int, parts)
		offset := 0
		for _, n := range slots {
			whole := 0
			for i := range parts {
				part := share(n, offset, i, parts)
				whole += part
				sums[i] += part
			}
			if whole != n {
				t.Fatalf("parts of %d sum up to %d", n, whole)
			}
			offset += n
		}
		for _, s := range sums {
			if s < offset/parts || s > offset/parts+1 {
				t.Fatalf("sums %v of %d", sums, offset)
			}
		}
	})
}

// Story: eight routers each keep a slice of every upstream. If the slices came to less
// than the whole, slots would idle for ever; if they came to more, engines would queue.
func TestSlicesCoverAllSlots(t *testing.T) {
	spare := 0
	for i := range 8 {
		b := newBed(t, Options{Slice: i, Slices: 8}, engine("u", 3), engine("v", 13), engine("w", 5))
		spare += b.k.Spare(b.now)
	}
	equal(t, 21, spare)
}

// Story: a freed slot idles until the next grant has arrived. One grant ahead hides that;
// it doesn't count as spare, or routers would move claims here.
func TestGrantAhead(t *testing.T) {
	b := newBed(t, Options{GrantAhead: 1}, engine("u", 2))
	equal(t, 2, b.k.Spare(b.now))
	for id := range wire.ClaimID(4) {
		b.claim("r", 1, id, "a")
	}
	equal(t, 3, len(grants(b.next())))
}

// Story: as before, but the engine's limit adapts. The queue inside the engine that a grant
// ahead makes would look like overload, and the limit would shrink far under the slots.
func TestNoGrantAheadOfAnAdaptiveLimit(t *testing.T) {
	u := engine("u", 2)
	u.MaxSlots = 4
	b := newBed(t, Options{}, u)
	b.k.GrantAhead(1)
	for id := range wire.ClaimID(4) {
		b.claim("r", 1, id, "a")
	}
	equal(t, 2, len(grants(b.next())))
}

// Story: a request failed on an upstream and must not go there again. That upstream has
// the only free slot: the request waits, and holds nobody up.
func TestExcludedUpstreamIsNotUsed(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 2), engine("v", 1))
	excluding := func(id wire.ClaimID) {
		b.k.Claim("r", 1, wire.Claim{ID: id, Org: "a", Exclude: []string{"u"}}, b.now)
	}
	excluding(1)
	excluding(2)
	equal(t, "v", b.next()[0].Grant.Upstream)
	b.claim("q", 1, 3, "b")
	equal(t, []wire.ClaimID{3}, grants(b.next()))
	equal(t, 1, b.k.Backlog())
}

// Story: two prompts share a long head. On the upstream that has it cached the second is
// quick. But when that upstream is full, waiting for it would idle another one's slot.
func TestPrefixGoesWhereItRanUnlessFull(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 2), engine("v", 8))
	claim := func(id wire.ClaimID) string {
		b.k.Claim("r", 1, wire.Claim{ID: id, Org: "a", Prefix: 77, Exclude: []string{"v"}}, b.now)
		return b.next()[0].Grant.Upstream
	}
	equal(t, "u", claim(1))
	b.k.Claim("r", 1, wire.Claim{ID: 2, Org: "a", Prefix: 77}, b.now)
	equal(t, "u", b.next()[0].Grant.Upstream)
	b.k.Claim("r", 1, wire.Claim{ID: 3, Org: "a", Prefix: 77}, b.now)
	equal(t, "v", b.next()[0].Grant.Upstream)
}

// Story: an organisation's long work has filled all slots when another's check-in comes.
// With a slot in reserve it starts at once; the reserve isn't for those over their share.
func TestReserveIsForUrgentWithinShare(t *testing.T) {
	b := newBed(t, Options{ReserveUrgent: 1}, engine("u", 4))
	for id := range wire.ClaimID(6) {
		b.k.Claim("r", 1, wire.Claim{ID: id, Org: "a", Class: wire.ClassNormal}, b.now)
	}
	equal(t, 3, len(grants(b.next())))
	b.k.Claim("q", 1, wire.Claim{ID: 1, Org: "b", Class: wire.ClassNormal}, b.now)
	equal(t, 0, len(b.next()))
	b.k.Claim("q", 1, wire.Claim{ID: 2, Org: "b", Class: wire.ClassUrgent}, b.now)
	equal(t, []wire.ClaimID{2}, grants(b.next()))
	b.done("q", 2, "u", 1)
	b.pass(time.Second)
	b.k.Claim("r", 1, wire.Claim{ID: 20, Org: "a", Class: wire.ClassUrgent}, b.now)
	b.claim("q", 1, 3, "b")
	equal(t, []wire.ClaimID{3}, grants(b.next()))
}

// Story: a request costs more than is expected of any. Charged only at its end, its
// organisation would get further slots meanwhile as if it had had little.
func TestChargesAsServiceIsDelivered(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.next()
	for _, cost := range []wire.Units{5, 40, 70, 60} {
		b.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u", Cost: cost}}})
	}
	equal(t, wire.Units(70), b.k.Virtual("a"))
	b.done("r", 1, "u", 100)
	equal(t, wire.Units(100), b.k.Virtual("a"))
}

// Story: an upstream crashes under two requests. It gets nothing until its backoff ends,
// then one probe, though two claims wait; the probe's end opens it again.
func TestDeadUpstreamIsProbed(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 2))
	for id := range wire.ClaimID(4) {
		b.claim("r", 1, id, "a")
	}
	b.next()
	for id := range wire.ClaimID(2) {
		b.k.Done("r", 1, wire.Done{ID: id, Upstream: "u", Outcome: wire.OutcomeDied}, b.now)
	}
	equal(t, 0, len(b.pass(400*time.Millisecond)))
	equal(t, []wire.ClaimID{2}, grants(b.pass(200*time.Millisecond)))
	b.done("r", 2, "u", 1)
	equal(t, []wire.ClaimID{3}, grants(b.next()))
}

// Guards against shares that seem unkept where an organisation had nothing waiting.
func TestGrantsTellWhetherOthersWaited(t *testing.T) {
	b := newBed(t, Options{}, engine("e1", 2))
	b.claim("r", 1, 1, "a")
	b.next()
	equal(t, Granted{All: 1, Unopposed: 1}, b.k.TakeGranted())
	b.claim("r", 1, 2, "a")
	b.claim("r", 1, 3, "b")
	b.next()
	equal(t, Granted{All: 1}, b.k.TakeGranted())
	equal(t, Granted{}, b.k.TakeGranted())
}
