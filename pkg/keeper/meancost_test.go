package keeper

import (
	"testing"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// A large organisation fills all slots, and its requests cost a hundredth of the expected
// cost. A small organisation sends a request now and then. If expected costs were charged
// and later credited, the small organisation would be lifted to the inflated counter and
// then wait until the large one had received that much: seconds without any response.
func TestOverestimatedCostDoesNotStarveSmallOrganisations(t *testing.T) {
	const slots, cost = 8, 10
	h := newHarness(t, Options{}, engine("u", slots))
	claim := func(router string, id wire.ClaimID, org string) {
		h.k.Claim(wire.RouterID(router), 1, wire.Claim{ID: id, Cell: "chat/0", Org: org}, h.now)
	}
	h.k.meanCost = 100 * cost
	var running []wire.ClaimID
	large, skipped := wire.ClaimID(0), 0
	for range slots + 1 {
		large++
		claim("r1", large, "large")
	}
	running = append(running, grants(h.next())...)
	for small := wire.ClaimID(1); small <= 20; small++ {
		claim("r2", small, "small")
		for skipped = 0; skipped <= 2*slots; skipped++ {
			h.done("r1", running[0], "u", cost)
			running = running[1:]
			large++
			claim("r1", large, "large")
			if got := h.next(); got[0].To == "r2" {
				h.done("r2", small, "u", cost)
				running = append(running, grants(h.next())...)
				break
			} else {
				running = append(running, grants(got)...)
			}
		}
		if skipped > slots {
			t.Fatalf("request %d of the small organisation was passed over %d times", small, skipped)
		}
	}
}
