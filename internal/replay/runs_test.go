package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// busyModel is an engine that prefills for half of the time: 101 tokens a millisecond in chunks of
// 4,096, and a token of each stream in 3 ms.
func busyModel() Model {
	return Model{Slots: 16, Step: 3 * time.Millisecond, Token: 9900 * time.Nanosecond, Compared: 30 * time.Nanosecond, Piece: 4096, Packed: true, Event: 11,
		Keeps: 300_000, Copied: 10 * time.Microsecond}
}

func busyService() Service {
	s := service(make([]float64, 24)...)
	for i := range s.Slow {
		s.Slow[i] = 1
	}
	s.Objective, s.MaxPause, s.Capacity, s.Routers, s.Told = 700*time.Millisecond, 400*time.Millisecond, 1e7, 60, 250*time.Millisecond
	return s
}

// Prompts of a few thousand tokens each, three to nine of them prefilled back to back, stall the
// streams beside them for longer than allowed, though no single one of them would.
func TestShortPromptsInARunSpareTheStreamsBesideThem(t *testing.T) {
	prompts := Load{Last: 10 * time.Second, Kinds: []Kind{
		{Rate: 70, Documents: 150, Document: 4000, Own: 6600, Output: 380, Spread: 0.9, Longest: 30_000},
		{Rate: 140, Documents: 250, Document: 100, Own: 630, Output: 290, Spread: 0.8, Longest: 3300},
		{Rate: 140, Documents: 80, Document: 500, Own: 1800, Output: 22, Spread: 0.5, Longest: 4000},
	}, Organisations: map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1}}
	var without, with Result
	for _, seed := range seeds {
		prompts.Seed = seed
		for _, r := range Run(Decisions{Speeds: true, Pauses: true, Fetch: true, Herds: true}, busyService(), busyModel(), prompts) {
			without.add(*r)
		}
		for _, r := range Run(Decisions{Speeds: true, Pauses: true, Fetch: true, Herds: true, Bookings: true}, busyService(), busyModel(), prompts) {
			with.add(*r)
		}
	}
	t.Logf("without: %+v, with: %+v", without, with)
	require.Less(t, 4*with.Paused, without.Paused, "at most a quarter as many stall for too long")
	require.Greater(t, with.InTime, without.InTime)
}
