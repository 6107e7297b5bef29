package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/placement"
)

// backoffPlay plays a load at 18 engines, of which some want no requests now and then.
func backoffPlay(routers int, d Decisions, backoffs ...Backoff) (served, turnedAway int) {
	s := Service{Objective: 800 * time.Millisecond, MaxPause: 400 * time.Millisecond, Capacity: 600_000, Routers: routers, Told: 150 * time.Millisecond,
		Usual: placement.Speed{TokensPerMs: 60, FirstEvent: 20 * time.Millisecond, SlotTurn: 120 * time.Millisecond}, Backoffs: backoffs}
	for range 18 {
		s.Slow = append(s.Slow, 1)
	}
	m := Model{Slots: 24, Step: 4 * time.Millisecond, Token: 12 * time.Microsecond, Compared: 160 * time.Nanosecond, Piece: 2048, Event: 8, Keeps: 400_000, Copied: time.Microsecond}
	l := Load{Seed: 1, Last: 8 * time.Second, Organisations: map[string]float64{"a": 1, "b": 1},
		Kinds: []Kind{{Rate: 120, Documents: 60, Document: 200, Own: 430, Output: 290, Spread: 0.9, Longest: 3300}}}
	results, _ := Play(d, s, m, l)
	for _, r := range results {
		served += r.InTime
		turnedAway += r.TurnedAway
	}
	return served, turnedAway
}

// Guards against requests that pile up at engines which want none, and against backoffs that cost the work of engines
// which could do it, in fleets of each size.
func TestBackoffsSpareEnginesAndCostLittle(t *testing.T) {
	for _, routers := range []int{1, 8, 30, 91} {
		const lost = 0.02 // of what is served in time
		d := Decisions{Herds: true, Backoffs: true}
		calm, _ := backoffPlay(routers, d)
		now := Backoff{From: time.Second, To: 2 * time.Second, Engines: []int{3}, For: 3 * time.Second}
		again := Backoff{From: 5 * time.Second, To: 6 * time.Second, Engines: []int{3}, For: time.Second}
		served, away := backoffPlay(routers, d, now, again)
		require.Greater(t, float64(served), (1-lost)*float64(calm), "%d routers", routers)
		require.LessOrEqual(t, away, 4*routers, "once for each router and end of a backoff")
		all := Backoff{From: 2 * time.Second, To: 4 * time.Second, For: 2 * time.Second}
		for i := range 18 {
			all.Engines = append(all.Engines, i)
		}
		_, heeded := backoffPlay(routers, d, all)
		d.Backoffs = false
		_, unheeded := backoffPlay(routers, d, all)
		t.Logf("%d routers: one engine: %d of %d served in time, %d turned away; all: %d turned away, %d without backoffs", routers, served, calm, away, heeded, unheeded)
		require.LessOrEqual(t, heeded, unheeded)
	}
}
