package claimant

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// All cells of a pool are backlogged, as they are in the evening. Claims spread evenly
// would nearly all cross the wire, in a fleet whose callers came to the right router; sent
// to the own cell whatever waits there, they would starve while others drain.
func TestABackloggedOwnCellIsPreferredWithinBounds(t *testing.T) {
	m := newMachine(nil, nil, Options{Self: "k2", Report: time.Second})
	now := time.Unix(1000, 0)
	backlogged := func(keeper wire.RouterID, n uint32) *cell {
		c := newCell(cellA, pool)
		c.keeper, c.backlog, c.stateAt = keeper, n, now
		return c
	}
	for _, x := range []struct {
		own, other uint32
		stays      bool
	}{{10, 10, true}, {18, 10, true}, {30, 10, false}} {
		own, other := backlogged("k2", x.own), backlogged("k1", x.other)
		check(t, m.better(now, own, other) == x.stays, "%d here against %d there", x.own, x.other)
		check(t, m.better(now, other, own) != x.stays, "%d there against %d here", x.other, x.own)
	}
	spare := backlogged("k1", 0)
	spare.spare = 1
	check(t, m.better(now, spare, backlogged("k2", 10)), "a spare slot elsewhere must win")
}
