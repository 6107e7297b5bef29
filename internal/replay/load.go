package replay

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/prompt"
)

// Request is one request of the load.
type Request struct {
	At           time.Duration
	Organisation string
	Prompt       *prompt.Prompt
	chain        []placement.Prefix
	// crowd is whether it comes to the first router, whatever the others do.
	crowd bool
	// caller is which router it comes to, in [0, 1) of what all get; negative for turns.
	caller float64
}

// Kind is a kind of requests.
type Kind struct {
	Rate float64 // a second
	// Documents is how many shared documents there are, Document their mean size, Own that of
	// a request's own part, Output that of its answer, all in tokens.
	Documents             int
	Document, Own, Output float64
	// Spread is that of the own part: a lognormal one, as a few prompts are many times longer
	// than the others.
	Spread float64
	// Longest bounds the own part.
	Longest float64
}

// Load is a seeded load.
type Load struct {
	Seed  uint64
	Last  time.Duration
	Kinds []Kind
	// Organisations share the requests by weight.
	Organisations map[string]float64
	// Crowd is the organisation whose callers all come to the first router; empty for none.
	Crowd string
	// Skew makes routers get uneven parts of the requests, the first one most: by its number to the
	// power of -Skew; 0 for turns.
	Skew float64
}

// requests draws the load.
func (l Load) requests() []*Request {
	random := rand.New(rand.NewPCG(l.Seed, 1))
	var list []*Request
	for number, kind := range l.Kinds {
		at := 0.0
		for {
			at += random.ExpFloat64() / kind.Rate
			if at >= l.Last.Seconds() {
				break
			}
			list = append(list, l.request(random, number, kind, time.Duration(at*float64(time.Second))))
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}

func (l Load) request(random *rand.Rand, number int, kind Kind, at time.Duration) *Request {
	own := kind.Own * math.Exp(kind.Spread*random.NormFloat64()-kind.Spread*kind.Spread/2)
	own = min(kind.Longest, max(16, own))
	document := random.IntN(max(1, kind.Documents))
	shared := int(kind.Document)
	output := max(1, int(kind.Output*(0.5+random.Float64())))
	id := func(what string, n int) string { return what + strconv.Itoa(number) + "-" + strconv.Itoa(n) }
	p := &prompt.Prompt{Model: "m", Input: shared + int(own), MaxOutput: output,
		Parts: []prompt.Part{{ID: id("document", document), Tokens: shared}, {ID: id("own", random.Int()), Tokens: int(own)}}}
	org := l.organisation(random)
	caller := -1.0
	if l.Skew > 0 {
		caller = random.Float64()
	}
	return &Request{caller: caller, At: at, Organisation: org, Prompt: p, chain: placement.Prefixes(p), crowd: org == l.Crowd}
}

func (l Load) organisation(random *rand.Rand) string {
	names := make([]string, 0, len(l.Organisations))
	total := 0.0
	for name, weight := range l.Organisations {
		names = append(names, name)
		total += weight
	}
	sort.Strings(names)
	left := random.Float64() * total
	for _, name := range names {
		left -= l.Organisations[name]
		if left < 0 {
			return name
		}
	}
	return names[len(names)-1]
}
