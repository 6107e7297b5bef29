package experiment

import (
	"cmp"
	"math"
	"slices"
)

// Pair is a day that both variants have played, with the mean worth of each.
type Pair struct {
	Key
	Base, Other           float64
	BasePlays, OtherPlays int
}

// Difference is what the other variant gains on a day.
func (p Pair) Difference() float64 { return p.Other - p.Base }

// Verdict says what a comparison shows.
type Verdict string

// Verdicts on the other variant. Noise means that the difference can't be told from chance.
const (
	Better Verdict = "better"
	Worse  Verdict = "worse"
	Noise  Verdict = "can't be told from noise"
	TooFew Verdict = "too few days"
)

// Comparison is that of two variants over all days that both have played.
type Comparison struct {
	Base, Other string
	Pairs       []Pair
	// Mean is the mean difference, Spread its standard error, Least and Most the bounds of the 95 %
	// interval.
	Mean, Spread, Least, Most float64
	// BaseBroken and OtherBroken count the rules that were broken in the pairs' plays.
	BaseBroken, OtherBroken int
	Verdict                 Verdict
}

// leastPairs is the number of pairs under which nothing is said.
const leastPairs = 3

// Compare pairs the plays of two variants.
func Compare(plays []Play, base, other string) Comparison {
	c := Comparison{Base: base, Other: other, Verdict: TooFew}
	means, broken := byVariant(plays)
	for key, b := range means[base] {
		o, found := means[other][key]
		if !found {
			continue
		}
		c.Pairs = append(c.Pairs, Pair{Key: key, Base: b.mean(), Other: o.mean(), BasePlays: b.n, OtherPlays: o.n})
		c.BaseBroken += broken[base][key]
		c.OtherBroken += broken[other][key]
	}
	slices.SortFunc(c.Pairs, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Day, b.Day), cmp.Compare(a.Seed, b.Seed), cmp.Compare(a.How, b.How))
	})
	c.judge()
	return c
}

func (c *Comparison) judge() {
	n := float64(len(c.Pairs))
	if n == 0 {
		return
	}
	for _, p := range c.Pairs {
		c.Mean += p.Difference() / n
	}
	if len(c.Pairs) < leastPairs {
		return
	}
	squares := 0.0
	for _, p := range c.Pairs {
		squares += (p.Difference() - c.Mean) * (p.Difference() - c.Mean)
	}
	c.Spread = math.Sqrt(squares / (n - 1) / n)
	reach := quantile(len(c.Pairs)-1) * c.Spread
	c.Least, c.Most = c.Mean-reach, c.Mean+reach
	switch {
	case c.Least > 0:
		c.Verdict = Better
	case c.Most < 0:
		c.Verdict = Worse
	default:
		c.Verdict = Noise
	}
}

// tally sums the plays of one day.
type tally struct {
	sum float64
	n   int
}

func (t tally) mean() float64 { return t.sum / float64(t.n) }

func byVariant(plays []Play) (means map[string]map[Key]tally, broken map[string]map[Key]int) {
	means, broken = make(map[string]map[Key]tally), make(map[string]map[Key]int)
	for _, p := range plays {
		if means[p.Variant] == nil {
			means[p.Variant], broken[p.Variant] = make(map[Key]tally), make(map[Key]int)
		}
		t := means[p.Variant][p.Key]
		means[p.Variant][p.Key] = tally{sum: t.sum + p.Worth, n: t.n + 1}
		broken[p.Variant][p.Key] += p.Broken
	}
	return means, broken
}

// quantiles are the 97.5 % ones of Student's distribution for 1, 2, … degrees of freedom.
var quantiles = []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09}

// normalQuantile is that of the normal distribution, to which they fall.
const normalQuantile = 2.0

func quantile(freedom int) float64 {
	if freedom <= len(quantiles) {
		return quantiles[freedom-1]
	}
	return normalQuantile
}
