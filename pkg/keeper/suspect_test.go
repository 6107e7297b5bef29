package keeper

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

const poison = 666

func suspectBed(t *testing.T, deaths *int, slots int) *bed {
	o := Options{Deaths: func(content uint64) int {
		if content == poison {
			return *deaths
		}
		return 0
	}}
	return newBed(t, o, engine("u", slots), engine("v", slots))
}

func (b *bed) suspect(id wire.ClaimID) {
	b.k.Claim("r", 1, wire.Claim{ID: id, Org: "a", Content: poison}, b.now)
}

// Story: a request ran on an upstream when it died, and its caller sends it again. Beside
// others it could take them along. It runs alone, on an idle upstream; requests that come
// meanwhile use the other one, also those of the same organisation behind it.
func TestSuspectRunsAlone(t *testing.T) {
	deaths := 1
	b := suspectBed(t, &deaths, 2)
	b.suspect(1)
	out := b.next()
	equal(t, true, out[0].Grant.Alone)
	for id := range wire.ClaimID(4) {
		b.claim("r", 1, 10+id, "a")
	}
	b.suspect(2)
	innocents := b.next()
	equal(t, 2, len(innocents))
	for _, o := range innocents {
		equal(t, false, o.Grant.Alone || o.Grant.Upstream == out[0].Grant.Upstream)
	}
	b.done("r", 1, out[0].Grant.Upstream, 10)
	equal(t, []wire.ClaimID{2}, grants(b.next()))
}

// Story: the second upstream dies under the same content. It is refused everywhere from
// then on, also where it waits already; nobody else is.
func TestRefusedAfterDeaths(t *testing.T) {
	deaths := 0
	b := suspectBed(t, &deaths, 2)
	b.suspect(1)
	for id := range wire.ClaimID(4) {
		b.claim("q", 1, id, "b")
	}
	first := b.next()
	equal(t, 4, len(grants(first)))
	b.suspect(2)
	equal(t, 0, len(b.next()))
	deaths = 2
	b.suspect(3)
	equal(t, []wire.RefusalReason{wire.RefusedQuarantine}, refusals(b.next()))
	b.done("q", 0, first[1].Grant.Upstream, 1)
	out := b.next()
	equal(t, []wire.ClaimID{3}, grants(out))
	equal(t, []wire.RefusalReason{wire.RefusedQuarantine}, refusals(out))
}

// Story: as before, but the news of the second death is told to the keeper. Waiting
// requests with that content are refused at once, and not when their turn comes.
func TestSuspectedRefusesWaiting(t *testing.T) {
	deaths := 0
	b := suspectBed(t, &deaths, 1)
	for id := range wire.ClaimID(3) {
		b.claim("q", 1, id, "b")
	}
	b.suspect(1)
	b.suspect(2)
	equal(t, 2, len(grants(b.next())))
	deaths = 2
	b.k.Suspected(poison)
	equal(t, []wire.RefusalReason{wire.RefusedQuarantine}, refusals(b.next()))
	equal(t, 2, b.k.Backlog())
}

// Story: a waiting request becomes suspect while all upstreams are busy without a pause.
// None would ever get idle for it, and an innocent caller, whose request only ran beside
// the culprit, would wait for ever. One upstream is emptied; the other goes on.
func TestSuspectIsNotStarved(t *testing.T) {
	deaths := 0
	b := suspectBed(t, &deaths, 2)
	id := wire.ClaimID(100)
	var running []*wire.Grant
	busy := func() {
		for b.k.Backlog() < 8 {
			id++
			b.claim("q", 1, id, "b")
		}
		for _, o := range b.pass(100 * time.Millisecond) {
			running = append(running, o.Grant)
		}
	}
	busy()
	b.suspect(1)
	deaths = 1
	for range 60 {
		busy()
		if last := running[len(running)-1]; last.Alone {
			equal(t, wire.ClaimID(1), last.ID)
			return
		}
		equal(t, true, b.k.Slots() >= 2)
		b.done("q", running[0].ID, running[0].Upstream, 10)
		running = running[1:]
	}
	t.Fatal("the suspect waited for ever")
}

// Story: many requests that ran beside a culprit come again at once, while all upstreams
// are idle. If each took an upstream for itself, nothing would be left for the others.
func TestOneSuspectAtATime(t *testing.T) {
	deaths := 1
	b := suspectBed(t, &deaths, 2)
	b.suspect(1)
	b.suspect(2)
	equal(t, []wire.ClaimID{1}, grants(b.next()))
	b.claim("q", 1, 3, "b")
	equal(t, []wire.ClaimID{3}, grants(b.next()))
}

// Story: a suspect runs alone and its upstream dies. Its caller sends it again at another
// router, and that claim is here before the news of the second death. Granted, it would
// kill a third upstream. It waits until the news must have come, and is then refused.
func TestAResendDoesNotOvertakeTheNews(t *testing.T) {
	deaths := 1
	b := suspectBed(t, &deaths, 2)
	b.suspect(1)
	out := b.next()
	equal(t, true, out[0].Grant.Alone)
	b.k.Done("r", 1, wire.Done{ID: 1, Upstream: out[0].Grant.Upstream, Outcome: wire.OutcomeDied}, b.now)
	b.k.Claim("q", 1, wire.Claim{ID: 1, Org: "a", Content: poison}, b.now)
	b.claim("q", 1, 2, "a")
	equal(t, []wire.ClaimID{2}, grants(b.next()))
	equal(t, 0, len(b.pass(500*time.Millisecond)))
	deaths = 2
	b.k.Suspected(poison)
	equal(t, []wire.RefusalReason{wire.RefusedQuarantine}, refusals(b.next()))
}
