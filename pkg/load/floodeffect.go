package load

// FloodEffect compares the other organisations' first-token times with and without a
// flooding one.
type FloodEffect struct {
	Calm    Times `json:"calm"`
	Flooded Times `json:"flooded"`
	// P99Ratio is the flooded 99th percentile over the calm one.
	P99Ratio float64 `json:"p99_ratio"`
	// FlooderRefused is the share of the flooder's requests that were refused.
	FlooderRefused float64 `json:"flooder_refused"`
}

// floodEffect is nil for scenarios without a flood.
func floodEffect(run Run) *FloodEffect {
	s := run.Scenario
	if s.Flooder == "" {
		return nil
	}
	turn := run.Start.Add(s.CalmUntil)
	calm := firstTokens(run.Results, func(r Result) bool {
		return r.Org.Name != s.Flooder && r.Intended.Before(turn)
	})
	flooded := firstTokens(run.Results, func(r Result) bool {
		return r.Org.Name != s.Flooder && !r.Intended.Before(turn)
	})
	e := &FloodEffect{Calm: timesOf(calm), Flooded: timesOf(flooded), FlooderRefused: refusedShare(run.Results, s.Flooder)}
	if e.Calm.P99 > 0 {
		e.P99Ratio = e.Flooded.P99 / e.Calm.P99
	}
	return e
}

func refusedShare(results []Result, org string) float64 {
	sent, refused := 0, 0
	for _, r := range results {
		if r.Org.Name != org {
			continue
		}
		sent++
		if r.Outcome == Refused {
			refused++
		}
	}
	return float64(refused) / float64(max(sent, 1))
}
