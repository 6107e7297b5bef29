package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A router dies with a request running, a grant on its way and a claim waiting. Its slots
// are freed, but only when nothing can run on them any more. The service that its
// organisation received stays charged, and its waiting claim gets no slot.
func TestDeadRouter(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 2))
	for id := range wire.ClaimID(3) {
		h.claim("r", 1, id, "a")
	}
	h.claim("q", 1, 9, "b")
	h.claim("q", 1, 10, "b")
	equal(t, 2, len(grants(h.next()))) // one of a, one of b
	h.report("r", wire.Report{Running: []wire.Running{{ID: 0, Org: "a", Upstream: "u", Cost: 25}}, Waiting: []wire.ClaimID{1, 2}})
	h.k.MarkRouterDead("r", h.now)
	equal(t, 1, h.k.Backlog())
	equal(t, 0, len(h.advance(2400*time.Millisecond)))
	equal(t, []wire.ClaimID{10}, grants(h.advance(200*time.Millisecond)))
	equal(t, wire.Units(25), h.k.Virtual("a"))
}

// A partitioned router is declared dead and comes back with its request still running.
// Freeing its slot would overload the upstream.
func TestRouterWronglyDeclaredDead(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.claim("q", 1, 2, "b")
	h.next()
	running := wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}}
	h.report("r", running)
	h.k.MarkRouterDead("r", h.now)
	for range 10 {
		equal(t, 0, len(grants(h.advance(500*time.Millisecond))))
		h.report("r", running)
	}
	equal(t, 1, h.k.Slots())
}

// The first report after a partition is a partial one without entries: the engine hasn't
// begun with the request. The message alone shows that the router is alive.
func TestRouterWronglyDeclaredDeadSendsPartialReport(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.claim("q", 1, 2, "b")
	h.next()
	h.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}})
	h.k.MarkRouterDead("r", h.now)
	for i := range uint64(10) {
		h.k.Report("r", 1, wire.Report{Seq: 10 + i}, h.now)
		equal(t, 0, len(h.advance(500*time.Millisecond)))
	}
}

// The keeper is suspended for a minute. The routers' reports wait unread, so every slot
// looks silent and every grant expired. Freeing them at once would grant the slots of
// running requests a second time.
func TestPausedKeeper(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.claim("q", 1, 2, "b")
	h.next()
	running := wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}}
	h.report("r", running)
	h.now = h.now.Add(time.Minute)
	equal(t, 0, len(h.next()))
	equal(t, true, h.k.TakingOver())
	h.report("r", running)
	equal(t, 0, len(grants(h.advance(4*time.Second))))
	h.done("r", 1, "u", 10)
	equal(t, []wire.ClaimID{2}, grants(h.next()))
}

// A router disappears: its Done and reports are lost, and membership doesn't notice. Its
// slot must not leak.
func TestSilentRouterLosesSlot(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 1))
	h.claim("r", 1, 1, "a")
	h.claim("q", 1, 2, "b")
	h.next()
	h.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}})
	equal(t, 0, len(h.advance(4*time.Second)))
	equal(t, []wire.ClaimID{2}, grants(h.advance(time.Second)))
}
