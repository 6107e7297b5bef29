package gatewayd

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingowind/flamingowind/pkg/fleet"
)

// Eighty routers are ready. A caller takes 64 addresses; named the same ones each time,
// sixteen routers would get no work.
func TestEntriesOfALargeFleet(t *testing.T) {
	seen := make(map[string]bool)
	for range 50 {
		var list []string
		for i := range 80 {
			list = append(list, fmt.Sprint(i))
		}
		given := sample(list)
		require.Len(t, given, maxEntries)
		for _, addr := range given {
			seen[addr] = true
		}
	}
	require.Len(t, seen, 80)
	require.Equal(t, []string{"a", "b"}, sample([]string{"a", "b"}))
}

// One router gets too little processor. Callers must not be sent there while others do
// well; when most are short of it, all must bear their part.
func TestCPUStarvedRoutersAreNotOfferedToCallers(t *testing.T) {
	list := []fleet.MemberState{memberState("a", 1), memberState("b", 1), memberState("c", 1)}
	list[1].CPUStarved = true
	require.Equal(t, []string{"a", "c"}, addresses(preferUnstarved(list)))
	list[0].CPUStarved = true
	require.Equal(t, []string{"a", "b", "c"}, addresses(preferUnstarved(list)))
	list[2].Ready = false
	require.Equal(t, []string{"a", "b"}, addresses(onlyReady(list)))
}

// Hosts of a large fleet are unequal. Small ones must not get as much as those with four
// times their processor; when the strong ones have none to spare, all must bear their part.
func TestCallersOfALargeFleetAreSentToStrongRouters(t *testing.T) {
	var list []fleet.MemberState
	for i := range 40 {
		power := 0.2
		if i < 10 {
			power = 0.8
		}
		list = append(list, memberState(fmt.Sprint(i), power))
	}
	given := strongRouters(list)
	require.Len(t, given, 10)
	require.Equal(t, 0.8, given[9].Member.Power)
	require.Len(t, strongRouters(list[:smallFleet]), smallFleet, "a small fleet needs all")
	require.Len(t, strongRouters(list[5:]), 35, "five are too few")
	for i := range 3 {
		list[i].CPUStarved = true
	}
	require.Len(t, strongRouters(list), 40, "seven are too few")
	for i := range list {
		list[i].Member.Power = 0
	}
	require.Len(t, strongRouters(list), 40, "nothing is known of them")
}

func memberState(name string, power float64) fleet.MemberState {
	return fleet.MemberState{Member: fleet.Member{Callers: name, Power: power}, Ready: true}
}

// Nobody reads the log for a while. The engineer who reads it later must see the gap.
func TestDroppedLogLinesAreReported(t *testing.T) {
	lines, h := int64(0), memory.New()
	d := logDrops{count: func() int64 { return lines }, log: &log.Logger{Handler: h, Level: log.InfoLevel}, counter: tally.NoopScope.Counter("x")}
	d.report()
	lines = 7
	d.report()
	d.report()
	require.Len(t, h.Entries, 1)
	require.EqualValues(t, 7, h.Entries[0].Fields["lines"])
}
