package load

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is what the callers of one organisation saw in one class.
type Latency struct {
	Org   string `json:"org"`
	Class Class  `json:"class"`
	// FirstToken counts from when each request was meant to be sent.
	FirstToken Times `json:"first_token"`
	// BetweenTokens are all times between two tokens of streams.
	BetweenTokens Times `json:"between_tokens"`
}

type latencyKey struct {
	org   string
	class Class
}

type latencyPair struct{ first, between *hdrhistogram.Histogram }

// latencies groups the completions that brought a token by organisation and class.
func latencies(results []Result) []Latency {
	pairs := make(map[latencyKey]latencyPair)
	for _, r := range results {
		if r.Got == 0 {
			continue
		}
		key := latencyKey{r.Org.Name, r.Class}
		pair, ok := pairs[key]
		if !ok {
			pair = latencyPair{newHistogram(), newHistogram()}
			pairs[key] = pair
		}
		record(pair.first, r.FirstToken())
		for _, gap := range r.Gaps {
			record(pair.between, gap)
		}
	}
	list := make([]Latency, 0, len(pairs))
	for key, pair := range pairs {
		list = append(list, Latency{key.org, key.class, timesOf(pair.first), timesOf(pair.between)})
	}
	slices.SortFunc(list, func(a, b Latency) int {
		return cmp.Or(cmp.Compare(a.Org, b.Org), cmp.Compare(a.Class, b.Class))
	})
	return list
}

// firstTokens is the histogram of first-token times of the completions that keep holds for.
func firstTokens(results []Result, keep func(Result) bool) *hdrhistogram.Histogram {
	h := newHistogram()
	for _, r := range results {
		if r.Got > 0 && keep(r) {
			record(h, r.FirstToken())
		}
	}
	return h
}
