package fair

import (
	"testing"

	"pgregory.net/rapid"
)

// request is a running request of TestGapIsBounded.
type request struct {
	org                   int
	cost, charged, served float64
}

var names = []string{"a", "b", "c"}

// Three organisations are backlogged all the time. The cost of a request is known only
// when it ends, and predictions are arbitrary. An organisation whose predictions are too
// low must not get ahead indefinitely: between any two organisations, over any window, the
// difference of weighted service stays within a constant times the largest request, since
// each can be ahead by at most the work that fills all slots.
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
			o.Push(&Entry[int]{Org: name, Value: i}) // one entry still waits after each pick
		}
		var running []*request
		var served [3]float64
		var low, high [3]float64 // of the difference between organisations i and i+1
		for n := range steps {
			for len(running) < slots {
				e := o.Pick(func(*Entry[int]) bool { return true })
				o.Push(&Entry[int]{Org: e.Org, Value: e.Value})
				o.Charge(e.Org, hints[e.Value])
				cost := float64(costs[(n*7+e.Value*20+len(running))%(20)+e.Value*20])
				running = append(running, &request{org: e.Value, cost: cost, charged: hints[e.Value]})
			}
			kept := running[:0]
			for _, w := range running {
				if !serveUnit(o, w, &served) {
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

// serveUnit delivers one unit of service to w; true when w ended and its charge was settled.
func serveUnit(o *Order[int], w *request, served *[3]float64) bool {
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

// An organisation is idle for an hour while another one works, then sends a thousand
// requests at once. Without the counter lift its counter is an hour behind, and the other
// organisation waits until all thousand requests are served.
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
		t.Fatalf("picks of 20: %v, want 10 each", got)
	}
}

// An organisation is charged a high prediction for a long request, becomes idle and
// returns. It is lifted to the others' level. The credit for the old request must not
// lower its counter below that level, which would give it an advantage for having been idle.
func TestCreditStopsAtLift(t *testing.T) {
	o := New[int]()
	o.Charge("a", 1000)
	o.Charge("b", 5000)
	o.Push(&Entry[int]{Org: "b"})
	o.Push(&Entry[int]{Org: "a"})
	o.Charge("a", -900)
	if o.Virtual("a") != 5000 {
		t.Fatalf("counter of a is %v, want 5000", o.Virtual("a"))
	}
}

// An organisation sends urgent requests without a pause, which must not starve its own
// batch requests.
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
	t.Fatal("the batch entry is starved by urgent ones")
}

// The first organisation in the order has only requests that may not use the one free
// upstream. Holding the slot for it would idle capacity while others wait.
func TestBlockedOrganisationDoesNotBlockOthers(t *testing.T) {
	o := New[int]()
	o.Push(&Entry[int]{Org: "a", Value: 1})
	o.Charge("b", 100)
	o.Push(&Entry[int]{Org: "b", Value: 2})
	if e := o.Pick(func(e *Entry[int]) bool { return e.Value == 2 }); e == nil || e.Org != "b" {
		t.Fatalf("picked %+v, want the entry of b", e)
	}
	if e := o.Pick(func(*Entry[int]) bool { return true }); e == nil || e.Org != "a" {
		t.Fatalf("picked %+v, want the entry of a", e)
	}
}
