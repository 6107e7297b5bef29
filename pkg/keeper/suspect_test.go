package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

const crashingContent = 666

func newSuspectHarness(t *testing.T, crashes *int, slots int) *harness {
	o := Options{Crashes: func(content uint64) int {
		if content == crashingContent {
			return *crashes
		}
		return 0
	}}
	return newHarness(t, o, engine("u", slots), engine("v", slots))
}

func (h *harness) suspect(id wire.ClaimID) {
	h.k.Claim("r", 1, wire.Claim{ID: id, Org: "a", Content: crashingContent}, h.now)
}

// A request ran on an upstream that crashed, and its caller retries it. Beside other
// requests it could break them too, so it runs alone, on an idle upstream. Requests that
// arrive meanwhile use the other upstream, including later ones of the same organisation.
func TestSuspectRunsAlone(t *testing.T) {
	crashes := 1
	h := newSuspectHarness(t, &crashes, 2)
	h.suspect(1)
	out := h.next()
	equal(t, true, out[0].Grant.Alone)
	for id := range wire.ClaimID(4) {
		h.claim("r", 1, 10+id, "a")
	}
	h.suspect(2)
	others := h.next()
	equal(t, 2, len(others))
	for _, o := range others {
		equal(t, false, o.Grant.Alone || o.Grant.Upstream == out[0].Grant.Upstream)
	}
	h.done("r", 1, out[0].Grant.Upstream, 10)
	equal(t, []wire.ClaimID{2}, grants(h.next()))
}

// A second upstream crashes under the same content. From then on the content is refused
// everywhere, including where it already waits; no other request is refused.
func TestRefusedAfterCrashes(t *testing.T) {
	crashes := 0
	h := newSuspectHarness(t, &crashes, 2)
	h.suspect(1)
	for id := range wire.ClaimID(4) {
		h.claim("q", 1, id, "b")
	}
	first := h.next()
	equal(t, 4, len(grants(first)))
	h.suspect(2)
	equal(t, 0, len(h.next()))
	crashes = 2
	h.suspect(3)
	equal(t, []wire.RefusalReason{wire.RefusedQuarantine}, refusals(h.next()))
	h.done("q", 0, first[1].Grant.Upstream, 1)
	out := h.next()
	equal(t, []wire.ClaimID{3}, grants(out))
	equal(t, []wire.RefusalReason{wire.RefusedQuarantine}, refusals(out))
}

// The keeper is told of a second crash under a content. Waiting requests with that content
// are refused at once, and not only when their turn comes.
func TestUpdateSuspectRefusesWaiting(t *testing.T) {
	crashes := 0
	h := newSuspectHarness(t, &crashes, 1)
	for id := range wire.ClaimID(3) {
		h.claim("q", 1, id, "b")
	}
	h.suspect(1)
	h.suspect(2)
	equal(t, 2, len(grants(h.next())))
	crashes = 2
	h.k.UpdateSuspect(crashingContent)
	equal(t, []wire.RefusalReason{wire.RefusedQuarantine}, refusals(h.next()))
	equal(t, 2, h.k.Backlog())
}

// A waiting request becomes a suspect while all upstreams are constantly busy. No upstream
// would ever become idle for it, and it may be innocent and only have run beside the
// culprit. One upstream is drained for it; the other goes on.
func TestSuspectIsNotStarved(t *testing.T) {
	crashes := 0
	h := newSuspectHarness(t, &crashes, 2)
	id := wire.ClaimID(100)
	var running []*wire.Grant
	busy := func() {
		for h.k.Backlog() < 8 {
			id++
			h.claim("q", 1, id, "b")
		}
		for _, o := range h.advance(100 * time.Millisecond) {
			running = append(running, o.Grant)
		}
	}
	busy()
	h.suspect(1)
	crashes = 1
	for range 60 {
		busy()
		if last := running[len(running)-1]; last.Alone {
			equal(t, wire.ClaimID(1), last.ID)
			return
		}
		equal(t, true, h.k.Slots() >= 2)
		h.done("q", running[0].ID, running[0].Upstream, 10)
		running = running[1:]
	}
	t.Fatal("the suspect waited for ever")
}

// Many requests that ran beside a culprit are retried at once while all upstreams are idle.
// If each took an upstream for itself, none would be left for the others.
func TestOneSuspectAtATime(t *testing.T) {
	crashes := 1
	h := newSuspectHarness(t, &crashes, 2)
	h.suspect(1)
	h.suspect(2)
	equal(t, []wire.ClaimID{1}, grants(h.next()))
	h.claim("q", 1, 3, "b")
	equal(t, []wire.ClaimID{3}, grants(h.next()))
}

// A suspect runs alone and its upstream crashes. Its caller retries at another router, and
// that claim arrives before the report of the second crash. If granted, it would crash a
// third upstream. It waits until the report must have arrived, and is then refused.
func TestRetryWaitsForReportOfCrash(t *testing.T) {
	crashes := 1
	h := newSuspectHarness(t, &crashes, 2)
	h.suspect(1)
	out := h.next()
	equal(t, true, out[0].Grant.Alone)
	h.k.Done("r", 1, wire.Done{ID: 1, Upstream: out[0].Grant.Upstream, Outcome: wire.OutcomeDied}, h.now)
	h.k.Claim("q", 1, wire.Claim{ID: 1, Org: "a", Content: crashingContent}, h.now)
	h.claim("q", 1, 2, "a")
	equal(t, []wire.ClaimID{2}, grants(h.next()))
	equal(t, 0, len(h.advance(500*time.Millisecond)))
	crashes = 2
	h.k.UpdateSuspect(crashingContent)
	equal(t, []wire.RefusalReason{wire.RefusedQuarantine}, refusals(h.next()))
}
