package claimant

import (
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// All cells of a pool are backlogged. If claims were spread evenly, nearly all of them would
// go to other routers, although callers came to the right one. If they always went to the
// router's own cell, they would starve while other cells drain.
func TestABackloggedOwnCellIsPreferredWithinBounds(t *testing.T) {
	m := newStateMachine(nil, nil, Options{Self: "k2", ReportInterval: time.Second})
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
		check(t, m.preferred(now, own, other) == x.stays, "own cell with backlog %d is compared wrongly with one of %d", x.own, x.other)
		check(t, m.preferred(now, other, own) != x.stays, "cell with backlog %d is compared wrongly with the own one of %d", x.other, x.own)
	}
	spare := backlogged("k1", 0)
	spare.spare = 1
	check(t, m.preferred(now, spare, backlogged("k2", 10)), "the own cell is preferred to a spare slot elsewhere")
}
