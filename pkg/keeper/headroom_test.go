package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// lightLoad sends requests of organisations b and c, one at a time.
func lightLoad(h *harness) {
	for id := range wire.ClaimID(40) {
		h.claim("q", 1, id, []string{"b", "c"}[id%2])
		h.next()
		h.advance(100 * time.Millisecond)
		h.done("q", id, "u", 10)
	}
}

func (h *harness) flood(org string, from wire.ClaimID) int {
	for id := range wire.ClaimID(50) {
		h.claim("r", 1, from+id, org)
	}
	return len(grants(h.advance(time.Second)))
}

// One organisation claims more than the whole cell, far over its share. Without headroom
// the next short request of another organisation waits until a long response ends. With
// headroom it starts at once, and no slot stays free while an organisation within its share
// has work.
func TestFloodLeavesHeadroom(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 32))
	h.k.EnableHeadroom(true)
	lightLoad(h)
	equal(t, 30, h.flood("a", 100))
	h.claim("q", 1, 100, "b")
	equal(t, []wire.ClaimID{100}, grants(h.next()))
	equal(t, 1, h.flood("c", 1000)) // all that is left
	h.done("r", 100, "u", 10)
	equal(t, []wire.ClaimID{1001}, grants(h.next()))
}

// Headroom must not cost capacity where no organisation is far over its share: one
// organisation is alone in the cell, several share what the small ones leave, or shares are
// smaller than a slot. All slots are used.
func TestNoHeadroomWithoutFlood(t *testing.T) {
	h := newHarness(t, Options{}, engine("u", 32))
	h.k.EnableHeadroom(true)
	equal(t, 32, h.flood("a", 100))

	h = newHarness(t, Options{}, engine("u", 32))
	h.k.EnableHeadroom(true)
	lightLoad(h)
	for id := range wire.ClaimID(50) {
		h.claim("r", 1, 2*id+100, "a")
		h.claim("r", 1, 2*id+101, "b")
	}
	equal(t, 32, len(grants(h.advance(time.Second))))

	h = newHarness(t, Options{}, engine("u", 32))
	h.k.EnableHeadroom(true)
	for id := range wire.ClaimID(200) {
		org := fmt.Sprint(id % 100)
		h.claim("q", 1, id, org)
		h.next()
		h.done("q", id, "u", 10)
		h.advance(10 * time.Millisecond)
	}
	for id := range wire.ClaimID(32) {
		h.claim("r", 1, id, fmt.Sprint(id%16))
	}
	equal(t, 32, len(grants(h.advance(time.Second))))

	h = newHarness(t, Options{}, engine("u", 32))
	h.k.EnableHeadroom(false)
	lightLoad(h)
	equal(t, 32, h.flood("a", 100))
}
