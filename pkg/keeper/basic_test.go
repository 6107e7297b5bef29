package keeper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/wire"
)

func equal[T any](t testing.TB, want, got T) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Fatalf("(-want +got)\n%s", d)
	}
}

// harness drives one keeper in virtual time.
type harness struct {
	t   *testing.T
	k   *Keeper
	now time.Time
	seq uint64
}

var startTime = time.Unix(1_000_000, 0)

func newHarness(t *testing.T, o Options, ups ...resource.Upstream) *harness {
	h := &harness{t: t, k: New(o, nil, startTime), now: startTime}
	h.k.Configure(ups, map[string]float64{"a": 1, "b": 1, "c": 1}, startTime)
	equal(t, 0, len(h.next()))
	return h
}

func engine(name string, slots int) resource.Upstream {
	return resource.Upstream{Meta: resource.Meta{Name: name}, Slots: slots}
}

func (h *harness) next() []Message { return h.k.Next(h.now) }

// advance moves time on, calls Next every 100 ms as the event loop does, and returns all
// messages.
func (h *harness) advance(d time.Duration) (out []Message) {
	for step := 100 * time.Millisecond; d > 0; d -= step {
		h.now = h.now.Add(min(step, d))
		out = append(out, h.next()...)
	}
	return out
}

func (h *harness) claim(router string, inc wire.Incarnation, id wire.ClaimID, org string) {
	h.k.Claim(wire.RouterID(router), inc, wire.Claim{ID: id, Org: org}, h.now)
}

// report sends a Full report.
func (h *harness) report(router string, r wire.Report) wire.CellState {
	h.seq++
	r.Seq, r.Full = h.seq, true
	return h.k.Report(wire.RouterID(router), 1, r, h.now)
}

func (h *harness) done(router string, id wire.ClaimID, upstream string, cost wire.Units) {
	h.k.Done(wire.RouterID(router), 1, wire.Done{ID: id, Upstream: upstream, Cost: cost}, h.now)
}

func grants(out []Message) (ids []wire.ClaimID) {
	for _, o := range out {
		if o.Grant != nil {
			ids = append(ids, o.Grant.ID)
		}
	}
	return ids
}

func refusals(out []Message) (reasons []wire.RefusalReason) {
	for _, o := range out {
		if o.Refusal != nil {
			reasons = append(reasons, o.Refusal.Reason)
		}
	}
	return reasons
}

func TestGrantsUpToSlotsInFairOrder(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 2))
	for id := range wire.ClaimID(4) {
		h.claim("r1", 1, id, "a")
	}
	h.claim("r2", 1, 0, "b")
	equal(t, []wire.ClaimID{0, 0}, grants(h.next()))
	h.done("r1", 0, "u", 30)
	equal(t, []wire.ClaimID{1}, grants(h.next()))
	equal(t, wire.Units(30), h.k.Virtual("a"))
	equal(t, h.k.meanCost, h.k.order.Expected("a"))
}
