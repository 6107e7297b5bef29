package cost

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

var key = Key{Org: "acme", Pool: "chat"}

// hints draws what a caller may write: honest, absurd, or not a number.
func hints() *rapid.Generator[wire.Units] {
	return rapid.OneOf(
		rapid.Float64Range(0, 10_000),
		rapid.SampledFrom([]float64{0, 1, 1e9, -5, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, 1e-300}),
	)
}

// An organisation would get more than its share by lying: it hints low, is charged
// little at each grant and so is granted more until the costs are settled, and may
// abandon requests that were predicted high. Whatever it hints, abandons and serves, in
// any order, its charges must not add up to less than those without hints.
func TestHintsBuyNoService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPredictor(16)
		var charged, base wire.Units
		var open []Prediction
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				if rapid.Bool().Draw(t, "served") {
					p.Settle(key, open[0], rapid.Float64Range(0, 5_000).Draw(t, "cost"))
					charged += open[0].Units
					base += open[0].Base
				}
				open = open[1:]
				continue
			}
			was := p.Predict(key, hints().Draw(t, "hint"))
			if !(was.Units >= was.Base/spread-1e-9 && was.Units <= was.Base*spread+1e-9) {
				t.Fatalf("%v is out of the bounds around %v", was.Units, was.Base)
			}
			open = append(open, was)
			if lowered := charged + sum(open) - base - sumBase(open); lowered < -1e-6*(1+base) {
				t.Fatalf("hints lowered the charges by %v", -lowered)
			}
		}
	})
}

func sum(list []Prediction) (s wire.Units) {
	for _, p := range list {
		s += min(p.Units, p.Base) // a high one may yet be abandoned
	}
	return s
}

func sumBase(list []Prediction) (s wire.Units) {
	for _, p := range list {
		s += p.Base
	}
	return s
}

func TestOthersHintsAndCostsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPredictor(16)
		p.Settle(key, p.Predict(key, 0), 100)
		before := p.Predict(key, 0)
		other := Key{Org: "other", Pool: "chat"}
		for range rapid.IntRange(0, 50).Draw(t, "requests") {
			p.Settle(other, p.Predict(other, hints().Draw(t, "hint")), hints().Draw(t, "cost"))
		}
		if after := p.Predict(key, 0); after != before {
			t.Fatalf("%v became %v", before, after)
		}
	})
}

func TestHonestHintsSharpen(t *testing.T) {
	p := NewPredictor(16)
	var with, without wire.Units
	for i := range 1000 {
		cost := wire.Units(100 + 200*(i%2))
		was := p.Predict(key, cost/7) // in a unit of the caller's own
		if i >= 200 {
			with += math.Abs(was.Units - cost)
			without += math.Abs(was.Base - cost)
		}
		p.Settle(key, was, cost)
	}
	if with > without/2 {
		t.Fatalf("error with hints %v, without %v", with, without)
	}
}

func TestOneGiantMovesThePredictionLittle(t *testing.T) {
	p := NewPredictor(16)
	for range 100 {
		p.Settle(key, p.Predict(key, 0), 100)
	}
	before := p.Predict(key, 0).Units
	p.Settle(key, p.Predict(key, 0), 1e9)
	if after := p.Predict(key, 0).Units; after > 1.5*before {
		t.Fatalf("one giant: from %v to %v", before, after)
	}
	for range 100 {
		p.Settle(key, p.Predict(key, 0), 5_000)
	}
	if after := p.Predict(key, 0).Units; after < 4_000 {
		t.Fatalf("a lasting change isn't learned: %v", after)
	}
}

func TestTableIsBoundedAndNewKeysStartAtThePoolsMean(t *testing.T) {
	p := NewPredictor(8)
	for i := range 1000 {
		k := Key{Org: fmt.Sprint(i), Pool: "chat"}
		p.Settle(k, p.Predict(k, 0), 40)
	}
	if n := p.table.Len(); n > 8 {
		t.Fatalf("%d keys", n)
	}
	fresh := p.Predict(Key{Org: "new", Pool: "chat"}, 0)
	if math.Abs(fresh.Units-40) > 1 {
		t.Fatalf("a new key is predicted %v", fresh.Units)
	}
}
