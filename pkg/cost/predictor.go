package cost

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

const (
	// DefaultKeys bounds the table of a Predictor.
	DefaultKeys = 4096
	// DefaultUnits is predicted when nothing has been learned for a pool.
	DefaultUnits wire.Units = 256
	// minUnits is the least prediction: nothing is free.
	minUnits wire.Units = 1
	// maxHint is the largest hint taken seriously, in tokens.
	maxHint wire.Units = 1 << 30
)

// Predictor learns and predicts costs. Its table is bounded: the key unused for the
// longest time is forgotten.
type Predictor struct {
	table *simplelru.LRU[Key, *entry]
}

// NewPredictor returns a Predictor for at most keys keys; keys must be over 0.
func NewPredictor(keys int) *Predictor {
	table, err := simplelru.NewLRU[Key, *entry](keys, nil)
	if err != nil {
		panic(err) // the size is a constant of the program
	}
	return &Predictor{table: table}
}

// Predict returns the expected cost of a request.
//
// Guard against lying hints: an organisation that hints low would be charged less
// at the grant and so be granted more until its costs are settled. A hint therefore
// lowers a prediction only by what earlier hints, of requests that were served,
// raised theirs. Every lowering is taken from that balance at once, also when the
// request is never granted, so the sum of an organisation's predictions is never
// below the sum of the predictions it would have had without hints.
func (p *Predictor) Predict(k Key, hint wire.Units) Prediction {
	e, ok := p.table.Get(k)
	if !ok {
		base := p.prior(k)
		return Prediction{Units: base, Base: base, Hint: clean(hint)}
	}
	out := Prediction{Units: e.mean, Base: e.mean, Hint: clean(hint)}
	if out.Hint == 0 {
		return out
	}
	out.Units = e.scaled(out.Hint)
	if out.Units < out.Base {
		out.Units = max(out.Units, out.Base-e.balance)
		e.balance -= out.Base - out.Units
	}
	return out
}

// Settle learns the cost of a request that was served whole. Predictions of
// requests that weren't served are dropped.
func (p *Predictor) Settle(k Key, was Prediction, cost wire.Units) {
	if math.IsNaN(cost) || math.IsInf(cost, 0) || cost < 0 {
		return
	}
	cost = max(cost, minUnits)
	p.entry(k.pool()).learn(cost, 0)
	e := p.entry(k)
	if over := was.Units - was.Base; over > 0 {
		e.balance = min(e.balance+over, maxBalance*e.mean)
	}
	e.learn(cost, was.Hint)
}

func (p *Predictor) entry(k Key) *entry {
	e, ok := p.table.Get(k)
	if !ok {
		e = &entry{mean: p.prior(k)}
		p.table.Add(k, e)
	}
	return e
}

// prior is the prediction for a key without history: the mean of its pool.
func (p *Predictor) prior(k Key) wire.Units {
	if e, ok := p.table.Get(k.pool()); ok {
		return e.mean
	}
	return DefaultUnits
}

func clean(hint wire.Units) wire.Units {
	if math.IsNaN(hint) || hint <= 0 {
		return 0
	}
	return min(hint, maxHint)
}
