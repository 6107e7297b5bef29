package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/pkg/prompt"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Sizes of a large deployment.
const (
	benchOrganisations = 24
	benchEngines       = 64
	benchSlots         = 16
)

// Only one organisation sends requests to this router, all of them to others.
func BenchmarkStanding(b *testing.B) {
	s := NewShares()
	others := make(map[string]Use)
	for i := range benchOrganisations {
		others[fmt.Sprint("org-", i)] = Use{Asked: float64(3000 + 100*i), Got: float64(3000 + 100*i)}
	}
	s.SetOthers(others)
	now := time.Now()
	s.AddAsked("org-0", 1000, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Standing("org-0", 1e5, now)
	}
}

// No candidate fits: the queues of all engines are too long.
func BenchmarkChooseNone(b *testing.B) {
	service := &routing.Service{Engine: &routing.Engine{Slots: benchSlots, KVCapacity: 1 << 40}}
	p := &prompt.Prompt{Input: 1460, MaxOutput: 80, Parts: []prompt.Part{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 410}, {ID: "e4402b7d", Tokens: 250}}}
	var candidates []Candidate
	for i := range benchEngines {
		candidates = append(candidates, Candidate{Instance: &upstream.Instance{ID: upstream.ID(fmt.Sprintf("i-%08x", i)), Slots: benchSlots},
			Load: Load{Running: benchSlots + i%3, PrefillTokens: 20_000}})
	}
	req := Request{Work: Work{Prompt: p}, Prefixes: Prefixes(p), Service: service, Zone: "zone-a",
		Limits: Limits{Wait: 640 * time.Millisecond, Queue: 100 * time.Millisecond, ChosenQueue: 300 * time.Millisecond, RecomputeReserve: 3, Occupancy: 0.25}}
	usual := Speed{TokensPerMs: 60, FirstEvent: 45 * time.Millisecond, SlotTurn: 120 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		Choose(req, candidates, usual)
	}
}
