package fair

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// reference is a simple implementation of the fair order: maps, slices and linear scans.
type reference struct {
	virtual, floor map[string]float64
	queue          map[string][laneCount][]*Entry[int]
	passedOver     map[string]*[laneCount]int
	lastBacklogged string
}

// laneOf doesn't use Entry.laneIndex, so that the reference doesn't share its faults.
func laneOf(e *Entry[int]) int {
	switch {
	case e.Isolated:
		return 0
	case e.Class == wire.ClassUrgent:
		return 1
	case e.Class == wire.ClassNormal:
		return 2
	default:
		return 3
	}
}

func newReference() *reference {
	return &reference{
		virtual: map[string]float64{}, floor: map[string]float64{},
		queue: map[string][laneCount][]*Entry[int]{}, passedOver: map[string]*[laneCount]int{},
	}
}

func (r *reference) waiting(org string) (n int) {
	for _, q := range r.queue[org] {
		n += len(q)
	}
	return n
}

func (r *reference) least() (best string) {
	for org := range r.queue {
		if r.waiting(org) == 0 {
			continue
		}
		if best == "" || r.virtual[org] < r.virtual[best] || r.virtual[org] == r.virtual[best] && org < best {
			best = org
		}
	}
	return best
}

func (r *reference) push(e *Entry[int]) {
	if r.waiting(e.Org) == 0 {
		level := 0.0
		if l := r.least(); l != "" {
			level = r.virtual[l]
		} else if r.lastBacklogged != "" {
			level = r.virtual[r.lastBacklogged]
		}
		r.floor[e.Org] = level
		r.virtual[e.Org] = max(r.virtual[e.Org], level)
	}
	if r.passedOver[e.Org] == nil {
		r.passedOver[e.Org] = &[laneCount]int{}
	}
	q := r.queue[e.Org]
	q[laneOf(e)] = append(q[laneOf(e)], e)
	r.queue[e.Org] = q
}

func (r *reference) remove(e *Entry[int]) {
	q, i := r.queue[e.Org], laneOf(e)
	q[i] = slices.DeleteFunc(slices.Clone(q[i]), func(x *Entry[int]) bool { return x == e })
	if len(q[i]) == 0 {
		r.passedOver[e.Org][i] = 0
	}
	r.queue[e.Org] = q
	if r.waiting(e.Org) == 0 {
		r.lastBacklogged = e.Org
	}
}

func (r *reference) pick() *Entry[int] {
	org := r.least()
	if org == "" {
		return nil
	}
	first := -1
	for i, q := range r.queue[org] {
		if len(q) > 0 && (first < 0 || i >= laneUrgent && r.passedOver[org][i] >= maxPassedOver) {
			first = i
		}
	}
	for i, q := range r.queue[org] {
		if i != first && len(q) > 0 {
			r.passedOver[org][i]++
		}
	}
	r.passedOver[org][first] = 0
	e := r.queue[org][first][0]
	r.remove(e)
	return e
}

// The order agrees with the reference implementation under any sequence of calls.
func TestOrderAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, ref := New[int](), newReference()
		orgs := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		var all []*Entry[int]
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				e := &Entry[int]{
					Org: orgs.Draw(t, "org"), Class: wire.Class(rapid.IntRange(0, 3).Draw(t, "class")),
					Isolated: rapid.IntRange(0, 9).Draw(t, "isolated") == 0, Value: len(all),
				}
				ref.push(e)
				o.Push(e)
				all = append(all, e)
			},
			"pick": func(t *rapid.T) {
				want := ref.pick()
				if got := o.Pick(func(*Entry[int]) bool { return true }); got != want {
					t.Fatalf("picked %+v, want %+v", got, want)
				}
			},
			"remove": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				if e := rapid.SampledFrom(all).Draw(t, "entry"); e.Waiting() {
					ref.remove(e)
					o.Remove(e)
				}
			},
			"charge": func(t *rapid.T) {
				org, units := orgs.Draw(t, "org"), rapid.Float64Range(-50, 100).Draw(t, "units")
				ref.virtual[org] = max(ref.virtual[org]+units, ref.floor[org])
				o.Charge(org, units)
			},
			"merge": func(t *rapid.T) {
				org, v := orgs.Draw(t, "org"), rapid.Float64Range(0, 500).Draw(t, "virtual")
				ref.virtual[org] = max(ref.virtual[org], v)
				o.Merge(org, v)
			},
			"": func(t *rapid.T) {
				waiting := 0
				for org := range ref.queue {
					waiting += ref.waiting(org)
					if o.Waiting(org) != ref.waiting(org) || o.Virtual(org) != ref.virtual[org] {
						t.Fatalf("%s: %d waiting, counter %v; want %d waiting, counter %v", org,
							o.Waiting(org), o.Virtual(org), ref.waiting(org), ref.virtual[org])
					}
				}
				if o.Len() != waiting {
					t.Fatalf("%d entries waiting, want %d", o.Len(), waiting)
				}
			},
		})
	})
}

// Merging gives the maximum regardless of order and repetition.
func TestMergeIsMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(0, 1e9), 1, 20).Draw(t, "values")
		repeated := rapid.Permutation(append(slices.Clone(values), values...)).Draw(t, "repeated")
		o := New[int]()
		for _, v := range repeated {
			o.Merge("a", v)
			o.Merge("a", math.NaN())
			o.Merge("a", math.Inf(1))
		}
		if o.Virtual("a") != slices.Max(values) {
			t.Fatalf("counter %v, want the maximum %v", o.Virtual("a"), slices.Max(values))
		}
	})
}
