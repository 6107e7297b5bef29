package fair

import (
	"testing"

	"pgregory.net/rapid"
)

// work is one request that runs in the bound's test.
type work struct {
	org                   int
	cost, charged, served float64
}

var names = []string{"a", "b", "c"}

// Story: three organisations are backlogged all the time and their requests' costs are
// known only at the end; predictions say nothing about them. Whoever is lucky with
// predictions must not pull ahead for ever. Between any two organisations, over any
// window, the difference of weighted service stays within a constant times the largest
// request: each can be ahead by at most what fills all slots.
func TestGapIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest, steps = 40.0, 4000
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0.5, 1, 3}), 3, 3).Draw(t, "weights")
		hints := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 8, largest}), 3, 3).Draw(t, "hints")
		costs := rapid.SliceOfN(rapid.IntRange(1, largest), 60, 60).Draw(t, "costs")

		o := New[int]()
		for i, name := range names {
			o.SetWeight(name, weights[i])
			o.Push(&Entry[int]{Org: name, Value: i})
			o.Push(&Entry[int]{Org: name, Value: i}) // one more waits whenever one is picked
		}
		var running []*work
		var served [3]float64
		var low, high [3]float64 // of the difference between i and i+1
		for n := range steps {
			for len(running) < slots {
				e := o.Pick(func(*Entry[int]) bool { return true })
				o.Push(&Entry[int]{Org: e.Org, Value: e.Value})
				o.Charge(e.Org, hints[e.Value])
				cost := float64(costs[(n*7+e.Value*20+len(running))%(20)+e.Value*20])
				running = append(running, &work{org: e.Value, cost: cost, charged: hints[e.Value]})
			}
			kept := running[:0]
			for _, w := range running {
				if !step(o, w, &served) {
					kept = append(kept, w)
				}
			}
			running = kept
			for i := range names {
				j := (i + 1) % 3
				d := served[i]/weights[i] - served[j]/weights[j]
				low[i], high[i] = min(low[i], d), max(high[i], d)
				bound := 2 * float64(slots) * largest * (1/weights[i] + 1/weights[j])
				if high[i]-low[i] > bound {
					t.Fatalf("step %d: gap %.0f between %s and %s is over %.0f", n, high[i]-low[i], names[i], names[j], bound)
				}
			}
		}
	})
}

// step serves one unit; true when the work ended and was settled.
func step(o *Order[int], w *work, served *[3]float64) bool {
	w.served++
	served[w.org]++
	if w.served > w.charged {
		o.Charge(names[w.org], w.served-w.charged)
		w.charged = w.served
	}
	if w.served < w.cost {
		return false
	}
	o.Charge(names[w.org], w.cost-w.charged)
	return true
}

// Story: an organisation idles for an hour while another works, then sends a thousand
// requests at once. Without the lift its counter is an hour behind, and the other one
// waits until all thousand are served.
func TestIdlingHoardsNoCredit(t *testing.T) {
	o := New[int]()
	pick := func() string {
		e := o.Pick(func(*Entry[int]) bool { return true })
		o.Charge(e.Org, 10)
		return e.Org
	}
	for range 2000 {
		o.Push(&Entry[int]{Org: "busy"})
	}
	for range 1000 {
		pick()
	}
	for range 1000 {
		o.Push(&Entry[int]{Org: "idler"})
	}
	got := map[string]int{}
	for range 20 {
		got[pick()]++
	}
	if got["busy"] != 10 || got["idler"] != 10 {
		t.Fatalf("served %v of 20, want 10 each", got)
	}
}

// Story: an organisation's request is charged high and runs long, while the organisation
// goes idle and comes back. It is lifted to the others' level; the credit for the old
// request must not take it under that level, or it would return with hoarded credit.
func TestCreditStopsAtLift(t *testing.T) {
	o := New[int]()
	o.Charge("a", 1000)
	o.Charge("b", 5000)
	o.Push(&Entry[int]{Org: "b"})
	o.Push(&Entry[int]{Org: "a"})
	o.Charge("a", -900)
	if o.Virtual("a") != 5000 {
		t.Fatalf("counter %v, want 5000", o.Virtual("a"))
	}
}

// Story: an organisation sends urgent requests without a pause; its batch work, in the
// same share, would wait for ever.
func TestBatchIsNotStarvedByOwnUrgent(t *testing.T) {
	o := New[int]()
	for i := range 100 {
		o.Push(&Entry[int]{Org: "a", Class: 0, Value: i})
	}
	o.Push(&Entry[int]{Org: "a", Class: 2, Value: 1000})
	o.Push(&Entry[int]{Org: "a", Class: 1, Value: 2000})
	for range 20 {
		if e := o.Pick(func(*Entry[int]) bool { return true }); e.Value == 1000 {
			return
		}
	}
	t.Fatal("batch entry starved")
}

// Story: the first organisation in the order has only requests that may not go to the
// one free upstream. Waiting for them would idle the slot while the others wait.
func TestBlockedOrganisationDoesNotBlockOthers(t *testing.T) {
	o := New[int]()
	o.Push(&Entry[int]{Org: "a", Value: 1})
	o.Charge("b", 100)
	o.Push(&Entry[int]{Org: "b", Value: 2})
	if e := o.Pick(func(e *Entry[int]) bool { return e.Value == 2 }); e == nil || e.Org != "b" {
		t.Fatalf("picked %+v, want b's", e)
	}
	if e := o.Pick(func(*Entry[int]) bool { return true }); e == nil || e.Org != "a" {
		t.Fatalf("picked %+v, want a's", e)
	}
}
