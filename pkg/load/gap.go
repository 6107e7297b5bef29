package load

import "math"

// Gap is the fairness gap of a run: the largest difference in weighted service
// between two organisations over any window in which both stay backlogged.
type Gap struct {
	Tokens float64 `json:"tokens"`
	// Between are the two organisations, Least served less.
	Most  string `json:"most"`
	Least string `json:"least"`
	// Seconds is the length of the window.
	Seconds float64 `json:"seconds"`
}

// served is one organisation's weighted service at each sample, and whether it was
// backlogged throughout the time from the sample before.
type served struct {
	name       string
	total      []float64
	backlogged []bool // backlogged[k]: from sample k-1 to sample k
}

// fairnessGap finds the gap of a run.
func fairnessGap(run Run, waiting map[string][]Span) Gap {
	list := servedByOrg(run, waiting)
	var worst Gap
	for i := range list {
		for j := range i {
			if g := pairGap(list[i], list[j], run.Samples); g.Tokens > worst.Tokens {
				worst = g
			}
		}
	}
	return worst
}

func servedByOrg(run Run, waiting map[string][]Span) []served {
	list := make([]served, len(run.Orgs))
	for i, org := range run.Orgs {
		s := served{name: org.Name, total: make([]float64, len(run.Samples)), backlogged: make([]bool, len(run.Samples))}
		for k, sample := range run.Samples {
			s.total[k] = float64(sample.Tokens[i]) / max(org.Weight, math.SmallestNonzeroFloat64)
			s.backlogged[k] = k > 0 && covered(waiting[org.Name], Span{run.Samples[k-1].At, sample.At})
		}
		list[i] = s
	}
	return list
}

// pairGap looks at all windows in one pass. Within one stretch in which both stay
// backlogged, the window with the largest difference runs between the least and the
// greatest value of the difference of the two totals.
func pairGap(a, b served, samples []Sample) Gap {
	var worst Gap
	low, high := 0, 0 // samples with the least and the greatest difference
	diff := func(k int) float64 { return a.total[k] - b.total[k] }
	for k := range samples {
		if !a.backlogged[k] || !b.backlogged[k] {
			low, high = k, k // a new stretch can begin here
			continue
		}
		if diff(k) < diff(low) {
			low = k
		}
		if diff(k) > diff(high) {
			high = k
		}
		if gap := diff(high) - diff(low); gap > worst.Tokens {
			worst = gapOf(a, b, samples, low, high, gap)
		}
	}
	return worst
}

func gapOf(a, b served, samples []Sample, low, high int, tokens float64) Gap {
	g := Gap{Tokens: tokens, Most: a.name, Least: b.name, Seconds: samples[high].At.Sub(samples[low].At).Seconds()}
	if high < low { // the difference fell: b got more
		g.Most, g.Least, g.Seconds = b.name, a.name, -g.Seconds
	}
	return g
}
