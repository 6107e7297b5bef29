package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Story: a router dies with work running, a grant on its way and a claim waiting. Its
// slots come back, but only when nothing can run on them any more; what its organisation
// received stays charged; and no slot is granted to its waiting claim.
func TestDeadRouter(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 2))
	for id := range wire.ClaimID(3) {
		b.claim("r", 1, id, "a")
	}
	b.claim("q", 1, 9, "b")
	b.claim("q", 1, 10, "b")
	equal(t, 2, len(grants(b.next()))) // one of a, one of b
	b.report("r", wire.Report{Running: []wire.Running{{ID: 0, Org: "a", Upstream: "u", Cost: 25}}, Waiting: []wire.ClaimID{1, 2}})
	b.k.RouterGone("r", b.now)
	equal(t, 1, b.k.Backlog())
	equal(t, 0, len(b.pass(2400*time.Millisecond)))
	equal(t, []wire.ClaimID{10}, grants(b.pass(200*time.Millisecond)))
	equal(t, wire.Units(25), b.k.Virtual("a"))
}

// Story: a router is cut off, declared dead, and comes back with its work still running.
// Freeing its slots would put other work beside it.
func TestRouterTakenForDead(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.claim("q", 1, 2, "b")
	b.next()
	running := wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}}
	b.report("r", running)
	b.k.RouterGone("r", b.now)
	for range 10 {
		equal(t, 0, len(grants(b.pass(500*time.Millisecond))))
		b.report("r", running)
	}
	equal(t, 1, b.k.Slots())
}

// Story: as before, but the first report after the cut lists only what changed, which is
// nothing: the engine hasn't begun with the request. The router lives all the same.
func TestRouterTakenForDeadSendsPartialReport(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.claim("q", 1, 2, "b")
	b.next()
	b.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}})
	b.k.RouterGone("r", b.now)
	for i := range uint64(10) {
		b.k.Report("r", 1, wire.Report{Seq: 10 + i}, b.now)
		equal(t, 0, len(b.pass(500*time.Millisecond)))
	}
}

// Story: the keeper is stopped for a minute. The routers' reports wait unread, so every
// slot looks silent and every grant lapsed. Freed at once, they would be granted a second
// time beside the work that runs.
func TestPausedKeeper(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.claim("q", 1, 2, "b")
	b.next()
	running := wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}}
	b.report("r", running)
	b.now = b.now.Add(time.Minute)
	equal(t, 0, len(b.next()))
	equal(t, true, b.k.Settling())
	b.report("r", running)
	equal(t, 0, len(grants(b.pass(4*time.Second))))
	b.done("r", 1, "u", 10)
	equal(t, []wire.ClaimID{2}, grants(b.next()))
}

// Story: a router is gone without a word to anyone: Done and the reports were lost, and
// membership didn't notice. Its slot must not be lost for ever.
func TestSilentRouterLosesSlot(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 1))
	b.claim("r", 1, 1, "a")
	b.claim("q", 1, 2, "b")
	b.next()
	b.report("r", wire.Report{Running: []wire.Running{{ID: 1, Org: "a", Upstream: "u"}}})
	equal(t, 0, len(b.pass(4*time.Second)))
	equal(t, []wire.ClaimID{2}, grants(b.pass(time.Second)))
}
