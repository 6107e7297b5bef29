package experiment

import (
	"runtime"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/replay"
	"github.com/flamingowind/flamingowind/pkg/placement"
)

// emulated is a day of the emulator.
type emulated struct {
	name    string
	service replay.Service
	load    replay.Load
}

// The emulated fleet.
const (
	engines = 12
	routers = 12
	slots   = 24
	// reportAge is how late routers hear of each other's work.
	reportAge = 150 * time.Millisecond
	// perRouter is what a small host can serve in a second, where that is bounded.
	perRouter = 40
	// usualSpeed is the slowness of an engine that is as fast as the model says.
	usualSpeed = 1.0
)

// The emulated days.
const (
	dayLength = 12 * time.Second
	// calmRate is the number of requests in a second of a calm day.
	calmRate  = 90.0
	objective = 800 * time.Millisecond
	longPause = 400 * time.Millisecond
	// lateWorth is what a late answer is worth, of one in time.
	lateWorth = 0.3
)

func model() replay.Model {
	return replay.Model{Slots: slots, Step: 4 * time.Millisecond, Token: 12 * time.Microsecond, Compared: 160 * time.Nanosecond, Piece: 2048,
		Event: 8, Keeps: 400_000, Copied: time.Microsecond}
}

func fleet() replay.Service {
	s := replay.Service{Objective: objective, MaxPause: longPause, Capacity: 400_000, Routers: routers, Told: reportAge,
		Usual: placement.Speed{TokensPerMs: 60, FirstEvent: 20 * time.Millisecond, SlotTurn: 120 * time.Millisecond}}
	for range engines {
		s.Slow = append(s.Slow, usualSpeed)
	}
	return s
}

// mix is a load of long prompts, explanations and tags that come so often together.
func mix(rate, long, short, tags float64) replay.Load {
	all := long + short + tags
	return replay.Load{Last: dayLength,
		Kinds: []replay.Kind{
			{Rate: rate * long / all, Documents: 60, Document: 5400, Own: 1200, Output: 380, Spread: 1.1, Longest: 40_000},
			{Rate: rate * short / all, Documents: 60, Document: 200, Own: 430, Output: 290, Spread: 0.9, Longest: 3300},
			{Rate: rate * tags / all, Documents: 200, Document: 570, Own: 1200, Output: 16, Spread: 0.9, Longest: 6800},
		},
		Organisations: map[string]float64{"largest": 4, "a": 1, "b": 0.6, "c": 0.4, "d": 0.2, "e": 0.1}}
}

// days are the emulated days.
func days() []emulated {
	evacuated, crowd, slow, released, pushingBack := fleet(), fleet(), fleet(), fleet(), fleet()
	pushingBack.Backoffs = []replay.Backoff{{From: 2 * time.Second, To: 4 * time.Second, Engines: []int{0, 1, 2, 3}, For: 3 * time.Second}}
	released.Releases = []replay.Release{{At: 3 * time.Second, Gap: 400 * time.Millisecond, Engines: []int{0, 1, 2, 3, 4, 5, 6}, Version: "2"}}
	evacuated.Evacuations = []replay.Evacuation{{From: time.Second, To: 5 * time.Second, Engines: []int{0, 1, 2, 3}},
		{From: 4 * time.Second, To: 8 * time.Second, Engines: []int{4, 5, 6, 7}}}
	crowd.Serves = perRouter
	crowded := mix(calmRate, 1, 2, 2)
	crowded.Crowd = "largest"
	slow.Slow[0], slow.Slow[1] = 2.5, 2.5
	return []emulated{
		{"calm", fleet(), mix(calmRate, 1, 2, 2)},
		{"overload", fleet(), mix(3*calmRate, 1, 2, 2)},
		{"long-prompts", fleet(), mix(2*calmRate, 3, 1, 1)},
		{"short-prompts", fleet(), mix(4*calmRate, 1, 6, 6)},
		{"slow-engines", slow, mix(2*calmRate, 1, 2, 2)},
		{"zones-evacuated-and-cold", evacuated, mix(2*calmRate, 1, 2, 2)},
		{"crowd-at-one-host", crowd, crowded},
		{"engines-that-want-no-requests", pushingBack, mix(2*calmRate, 1, 2, 2)},
		{"release-beside-the-old-version", released, mix(2*calmRate, 1, 2, 2)},
	}
}

// Whole has all mechanisms on.
var Whole = replay.Decisions{Speeds: true, Pauses: true, Fetch: true, Herds: true, HandOver: true, Warmup: true, Backoffs: true}

// Switches turn single mechanisms off.
var Switches = map[string]func(*replay.Decisions){
	"speeds":   func(d *replay.Decisions) { d.Speeds = false },
	"pauses":   func(d *replay.Decisions) { d.Pauses = false },
	"fetch":    func(d *replay.Decisions) { d.Fetch = false },
	"herds":    func(d *replay.Decisions) { d.Herds = false },
	"handover": func(d *replay.Decisions) { d.HandOver = false },
	"warmup":   func(d *replay.Decisions) { d.Warmup = false },
	"backoffs": func(d *replay.Decisions) { d.Backoffs = false },
}

// Emulate plays all emulated days with seeds from 1 on, each as a variant. Days are played beside
// each other. Plays of one seed differ a little, as the product adds up fractions in the order of
// its maps.
func Emulate(variants map[string]replay.Decisions, seeds int) []Play {
	var (
		mu    sync.Mutex
		plays []Play
		all   sync.WaitGroup
	)
	places := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for name, decisions := range variants {
		for _, day := range days() {
			for seed := range seeds {
				places <- struct{}{}
				all.Go(func() {
					defer func() { <-places }()
					p := day.play(name, decisions, uint64(seed)+1)
					mu.Lock()
					defer mu.Unlock()
					plays = append(plays, p)
				})
			}
		}
	}
	all.Wait()
	return plays
}

func (d emulated) play(variant string, decisions replay.Decisions, seed uint64) Play {
	d.load.Seed = seed
	results, overCold := replay.Play(decisions, d.service, model(), d.load)
	worth, owed := 0.0, 0.0
	for _, r := range results {
		worth += float64(r.InTime) + lateWorth*float64(r.Late)
		owed += float64(r.InTime + r.Late + r.Refused)
	}
	return Play{Key: Key{Site: "emulator", Day: d.name, Seed: seed}, Variant: variant, Worth: worth / owed, Broken: overCold}
}
