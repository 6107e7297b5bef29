package load

import (
	"time"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// utilisation is the busy share of all engines' slots over the time in which at
// least one completion waits; any engine could serve it. 1 when nothing ever waited.
func utilisation(attempts []Attempt, engines []devfleet.UpstreamInfo, waiting map[string][]Span, window Span) float64 {
	var all []Span
	for _, spans := range waiting {
		for _, s := range spans {
			all = append(all, s.clip(window))
		}
	}
	contested := union(all)
	slots := make(map[string]int)
	total := 0
	for _, e := range engines {
		if e.Kind == devfleet.Engine {
			slots[e.Name] = e.Slots
			total += e.Slots
		}
	}
	available := time.Duration(total) * totalLength(contested)
	if available == 0 {
		return 1
	}
	var busy time.Duration
	for _, a := range attempts {
		if slots[a.Upstream] > 0 {
			busy += overlap(contested, runSpan(a, window))
		}
	}
	return float64(busy) / float64(available)
}

// runSpan is the time an attempt held its slot; one that still runs holds it to the end.
func runSpan(a Attempt, window Span) Span {
	s := Span{a.Started, a.Ended}
	if a.Ended.IsZero() {
		s.To = window.To
	}
	return s.clip(window)
}
