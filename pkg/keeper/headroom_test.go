package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// calm has organisations b and c ask for a little, one request after the other.
func calm(b *bed) {
	for id := range wire.ClaimID(40) {
		b.claim("q", 1, id, []string{"b", "c"}[id%2])
		b.next()
		b.pass(100 * time.Millisecond)
		b.done("q", id, "u", 10)
	}
}

func (b *bed) flood(org string, from wire.ClaimID) int {
	for id := range wire.ClaimID(50) {
		b.claim("r", 1, from+id, org)
	}
	return len(grants(b.pass(time.Second)))
}

// Story: one organisation asks for more than the whole cell, far over its share. Without
// headroom the next check-in of another waits until some long answer ends. With it the
// check-in starts at once, and no slot stays free while an organisation within its share
// has work.
func TestFloodLeavesHeadroom(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 32))
	b.k.KeepHeadroom(true)
	calm(b)
	equal(t, 30, b.flood("a", 100))
	b.claim("q", 1, 100, "b")
	equal(t, []wire.ClaimID{100}, grants(b.next()))
	equal(t, 1, b.flood("c", 1000)) // all that is left
	b.done("r", 100, "u", 10)
	equal(t, []wire.ClaimID{1001}, grants(b.next()))
}

// Story: headroom costs capacity where nobody is far over its share: one organisation is
// alone in the cell, several share what the small ones leave, or shares are smaller than a
// slot. All slots are used.
func TestNoHeadroomWithoutFlood(t *testing.T) {
	b := newBed(t, Options{}, engine("u", 32))
	b.k.KeepHeadroom(true)
	equal(t, 32, b.flood("a", 100))

	b = newBed(t, Options{}, engine("u", 32))
	b.k.KeepHeadroom(true)
	calm(b)
	for id := range wire.ClaimID(50) {
		b.claim("r", 1, 2*id+100, "a")
		b.claim("r", 1, 2*id+101, "b")
	}
	equal(t, 32, len(grants(b.pass(time.Second))))

	b = newBed(t, Options{}, engine("u", 32))
	b.k.KeepHeadroom(true)
	for id := range wire.ClaimID(200) {
		org := fmt.Sprint(id % 100)
		b.claim("q", 1, id, org)
		b.next()
		b.done("q", id, "u", 10)
		b.pass(10 * time.Millisecond)
	}
	for id := range wire.ClaimID(32) {
		b.claim("r", 1, id, fmt.Sprint(id%16))
	}
	equal(t, 32, len(grants(b.pass(time.Second))))

	b = newBed(t, Options{}, engine("u", 32))
	b.k.KeepHeadroom(false)
	calm(b)
	equal(t, 32, b.flood("a", 100))
}
