package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// Control bytes and connections of a router must not grow with the fleet.
func TestCostOfARouterDoesNotGrow(t *testing.T) {
	small, smallPeers := steadyCost(t, 20)
	large, largePeers := steadyCost(t, 60)
	t.Logf("20 routers: %.0f B/s a router, %d ping targets; 60 routers: %.0f B/s, %d", small, smallPeers, large, largePeers)
	require.InEpsilon(t, small, large, 0.25)
	require.LessOrEqual(t, largePeers, DefaultRings)
}

// steadyCost gives the encoded bytes a router sends a second, and the most ping targets
// of one router, over half a minute in which nothing happens.
func steadyCost(t *testing.T, n int) (bytesPerSecond float64, targets int) {
	s := fleetOf(t, n)
	s.run(20 * time.Second)
	clear(s.bytes)
	for id := range s.peers {
		clear(s.peers[id])
	}
	s.run(30 * time.Second)
	total := 0
	for id := range s.rosters {
		total += s.bytes[id]
		targets = max(targets, len(s.peers[id]))
	}
	return float64(total) / float64(n) / 30, targets
}

func TestKeepersAreSpreadAndStable(t *testing.T) {
	const routers, cells = 8, 4000
	r := NewRoster(Options{Self: wire.Member{ID: "r00"}, Start: testStart})
	for i := 1; i < routers; i++ {
		r.merge(testStart, "r01", []wire.Member{{ID: routerName(i), Incarnation: 1}})
	}
	before := r.View()
	kept := map[wire.RouterID]int{}
	for c := range cells {
		kept[before.Keeper(cell(c))]++
	}
	for id, n := range kept {
		require.InEpsilon(t, cells/routers, n, 0.2, "cells of %s", id)
	}
	r.merge(testStart, "r01", []wire.Member{{ID: "r03", Incarnation: 1, State: wire.MemberLeaving}})
	after := r.View()
	for c := range cells {
		if was := before.Keeper(cell(c)); was != "r03" {
			require.Equal(t, was, after.Keeper(cell(c)))
		} else {
			require.NotEqual(t, was, after.Keeper(cell(c)))
		}
	}
}

func cell(n int) wire.CellID { return wire.CellID(fmt.Sprintf("pool%d/%d", n%22, n)) }

func TestSuspectsKeepTheirCells(t *testing.T) {
	s := fleetOf(t, 4)
	before := s.rosters["r00"].View()
	s.stopped["r02"] = true
	s.run(4 * DefaultHeartbeat)
	require.Equal(t, wire.MemberSuspect, s.state("r00", "r02"))
	after := s.rosters["r00"].View()
	for c := range 100 {
		require.Equal(t, before.Keeper(cell(c)), after.Keeper(cell(c)))
	}
}

func TestMembersAreBounded(t *testing.T) {
	r := NewRoster(Options{Self: wire.Member{ID: "r00"}, Start: testStart, MaxMembers: 10})
	for i := range 100 {
		r.merge(testStart, "r01", []wire.Member{{ID: routerName(i), Incarnation: 1}})
	}
	require.Len(t, r.View().Members, 10)
}
