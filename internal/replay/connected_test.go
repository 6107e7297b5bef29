package replay

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// manyRouters are 40 uneven routers before 48 engines, of which a quarter is twice as fast, and which
// keep idle connections for as long as a router needs for a request to each of them.
func manyRouters() Service {
	s := service(make([]float64, 48)...)
	for i := range s.Slow {
		s.Slow[i] = 1.2
		if i%4 == 0 {
			s.Slow[i] = 0.6
		}
	}
	s.Objective, s.Capacity, s.Routers, s.Told = 500*time.Millisecond, 1e7, 40, 200*time.Millisecond
	s.KeepsIdle, s.Opening = 1500*time.Millisecond, 3*time.Millisecond
	return s
}

func unevenCallers(rate float64) Load {
	return Load{Last: 8 * time.Second, Skew: 0.7, Kinds: []Kind{
		{Rate: 0.45 * rate, Documents: 100, Document: 1200, Own: 2500, Output: 40, Spread: 0.9, Longest: 12000},
		{Rate: 0.55 * rate, Documents: 100, Document: 300, Own: 600, Output: 80, Spread: 0.8, Longest: 3300},
	}, Organisations: map[string]float64{"large": 1, "a": 1, "b": 1, "c": 1, "d": 1}, Crowd: "large"}
}

// evacuated takes a third of the engines away for two seconds.
func evacuated(s Service) Service {
	var third []int
	for i := range len(s.Slow) / 3 {
		third = append(third, i)
	}
	s.Evacuations = []Evacuation{{From: 2 * time.Second, To: 4 * time.Second, Engines: third}}
	return s
}

// Guards against routers that spread their requests over all engines, so that idle connections are closed before they are used again.
func TestRoutersUseTheirConnections(t *testing.T) {
	var mu sync.Mutex
	var without, with Result
	t.Run("loads", func(t *testing.T) {
		for name, one := range map[string]struct {
			service Service
			rate    float64
		}{
			"little":        {manyRouters(), 500},
			"much":          {manyRouters(), 1400},
			"a third leave": {evacuated(manyRouters()), 1000},
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				spread, kept := bothWays(one.service, one.rate)
				t.Logf("without: %+v, with: %+v", spread, kept)
				require.Less(t, 2*kept.Opened, spread.Opened, "at most half as many connections are opened")
				mu.Lock()
				defer mu.Unlock()
				without.add(spread)
				with.add(kept)
			})
		}
	})
	require.LessOrEqual(t, with.Late+with.Refused, without.Late+without.Refused)
}

// bothWays plays a load without and with the preference.
func bothWays(s Service, rate float64) (without, with Result) {
	for _, seed := range seeds {
		l := unevenCallers(rate)
		l.Seed = seed
		for _, r := range Run(Decisions{Speeds: true, Fetch: true, Herds: true}, s, model(), l) {
			without.add(*r)
		}
		for _, r := range Run(Decisions{Speeds: true, Fetch: true, Herds: true, Connected: true}, s, model(), l) {
			with.add(*r)
		}
	}
	return without, with
}

// Guards against calls of plain services that wait longer so that their router opens fewer connections.
func TestCallsUseTheirConnections(t *testing.T) {
	play := func(connected bool) (all CallResult) {
		for seed := range uint64(24) {
			l := clumps(seed)
			l.Routers, l.KeepsIdle, l.Opening, l.Connected = 40, 1500*time.Millisecond, 3*time.Millisecond, connected
			r := RunCalls(l, true, turn)
			all.Late, all.Refused, all.Opened = all.Late+r.Late, all.Refused+r.Refused, all.Opened+r.Opened
		}
		return all
	}
	without, with := play(false), play(true)
	t.Logf("without: %+v, with: %+v", without, with)
	require.Less(t, 3*with.Opened, 2*without.Opened, "at most two thirds as many connections are opened")
	require.LessOrEqual(t, with.Late+with.Refused, without.Late+without.Refused)
}
