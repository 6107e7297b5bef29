package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clumps are calls that come in clumps to a service which can serve them all.
func clumps(seed uint64) CallLoad {
	return CallLoad{Seed: seed, Instances: 8, Slots: 6, Room: 24, Call: 60 * time.Millisecond, PerSecond: 700, Clump: 3,
		For: 10 * time.Second, Routers: 20, Exchange: 60 * time.Millisecond, Objective: 300 * time.Millisecond}
}

const (
	// turn is the time of a call that the settings name.
	turn = 120 * time.Millisecond
	// fixedTurn makes each call that waits count as one turn, whatever the slots.
	fixedTurn = 6 * turn
)

func sumCalls(load func(uint64) CallLoad, learn bool) CallResult {
	var all CallResult
	usual := fixedTurn
	if learn {
		usual = turn
	}
	for seed := range uint64(8) {
		r := RunCalls(load(seed), learn, usual)
		all.Asked, all.OnTime, all.Late, all.Refused, all.Repeats = all.Asked+r.Asked, all.OnTime+r.OnTime, all.Late+r.Late, all.Refused+r.Refused, all.Repeats+r.Repeats
		all.Opened += r.Opened
	}
	return all
}

// Calls of 60 ms come in clumps to eight instances with six slots, nearly what they can
// serve. With 120 ms counted for each that waits, those that find four waiting are refused.
func TestClumpsOfCallsAreServed(t *testing.T) {
	fixed, learned := sumCalls(clumps, false), sumCalls(clumps, true)
	t.Logf("fixed %+v, learned %+v", fixed, learned)
	require.Less(t, 3*learned.Refused, 2*fixed.Refused)
	require.Less(t, 3*learned.Late, 2*fixed.Late)
	require.Less(t, learned.Repeats, fixed.Repeats/2)
	require.GreaterOrEqual(t, learned.OnTime, learned.Asked*99/100)
}

// A quarter more calls come than the service can serve. What is let in must still be on time,
// and full instances must not be asked again and again.
func TestCallsBeyondTheServiceAreRefusedAtOnce(t *testing.T) {
	beyond := func(seed uint64) CallLoad {
		l := clumps(seed)
		l.PerSecond = 1000
		return l
	}
	fixed, learned := sumCalls(beyond, false), sumCalls(beyond, true)
	t.Logf("fixed %+v, learned %+v", fixed, learned)
	require.GreaterOrEqual(t, learned.OnTime, fixed.OnTime)
	require.Less(t, learned.Late, fixed.Late/2)
	require.Less(t, learned.Repeats, fixed.Repeats/5)
}

// Small instances with short queues refuse what they have no room for. Learning that calls are
// short must not make each that comes cost a repeat.
func TestFullInstancesAreLeftAlone(t *testing.T) {
	small := func(seed uint64) CallLoad {
		l := clumps(seed)
		l.Instances, l.Slots, l.Room, l.PerSecond, l.Call = 3, 4, 4, 200, 40*time.Millisecond
		return l
	}
	fixed, learned := sumCalls(small, false), sumCalls(small, true)
	t.Logf("fixed %+v, learned %+v", fixed, learned)
	require.LessOrEqual(t, learned.Repeats, fixed.Repeats)
	require.GreaterOrEqual(t, learned.OnTime, fixed.OnTime)
}
