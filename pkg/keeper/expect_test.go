package keeper

import (
	"testing"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Story: a large organisation fills all slots, and its requests end a hundred times
// sooner than was expected of them. A small one asks now and then. Were predictions charged and credited
// back, the small one would be lifted to the inflated counter and then wait until the
// large one had really received that much: whole seconds without a single answer.
func TestOverPredictionDoesNotStarveNewcomers(t *testing.T) {
	const slots, cost = 8, 10
	b := newBed(t, Options{}, engine("u", slots))
	claim := func(router string, id wire.ClaimID, org string) {
		b.k.Claim(wire.RouterID(router), 1, wire.Claim{ID: id, Cell: "chat/0", Org: org}, b.now)
	}
	b.k.mean = 100 * cost
	var running []wire.ClaimID
	large, passed := wire.ClaimID(0), 0
	for range slots + 1 {
		large++
		claim("r1", large, "large")
	}
	running = append(running, grants(b.next())...)
	for small := wire.ClaimID(1); small <= 20; small++ {
		claim("r2", small, "small")
		for passed = 0; passed <= 2*slots; passed++ {
			b.done("r1", running[0], "u", cost)
			running = running[1:]
			large++
			claim("r1", large, "large")
			if got := b.next(); got[0].To == "r2" {
				b.done("r2", small, "u", cost)
				running = append(running, grants(b.next())...)
				break
			} else {
				running = append(running, grants(got)...)
			}
		}
		if passed > slots {
			t.Fatalf("request %d of the small organisation was passed over %d times", small, passed)
		}
	}
}
