package returntime

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// router is a router that reads so many connections in each millisecond and refuses the others.
type router struct {
	perMs, credit float64
	// total and refused are counts of the last second.
	total, refused float64
}

func (d *router) tick() {
	d.credit = min(d.credit+d.perMs, 20*d.perMs)
	const decay = 0.999
	d.total *= decay
	d.refused *= decay
}

func (d *router) admit() bool {
	d.total++
	if d.credit >= 1 {
		d.credit--
		return true
	}
	d.refused++
	return false
}

// byLoad is the delay that follows from the load alone.
func (d *router) byLoad() time.Duration {
	return min(4*time.Second, time.Duration(400*d.total/max(1, d.total-d.refused))*time.Millisecond)
}

type outcome struct{ inTime, late, refused int }

// attempt is an attempt of a caller that began at first and may return so many times more.
type attempt struct{ first, returns int }

// overload plays callers that arrive at five times the rate that the router reads, for ten seconds. Each
// returns so many times, and waits for no more than a third of its time limit.
func overload(objective, limit time.Duration, returns int, within bool) outcome {
	d, random := router{perMs: 0.2}, rand.New(rand.NewPCG(1, 1))
	due := make(map[int][]attempt)
	var o outcome
	try := func(ms int, a attempt) {
		if d.admit() {
			if time.Duration(ms-a.first)*time.Millisecond < objective {
				o.inTime++
			} else {
				o.late++
			}
			return
		}
		if a.returns == 0 {
			o.refused++
			return
		}
		delay := d.byLoad()
		if within {
			delay = Within(objective, delay)
		}
		at := ms + int(min(delay, limit/3).Milliseconds())
		due[at] = append(due[at], attempt{a.first, a.returns - 1})
	}
	for ms := range 15_000 {
		d.tick()
		arriving := due[ms]
		if ms < 10_000 {
			arriving = append(arriving, attempt{ms, returns})
		}
		random.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
		for _, a := range arriving {
			try(ms, a)
		}
	}
	return o
}

// Guards against callers of an overloaded host that are told to return when their objective is over,
// and then are served in place of others.
func TestCallersReturnWhileTheirObjectiveHolds(t *testing.T) {
	for _, c := range []struct{ objective, limit time.Duration }{{600 * time.Millisecond, 10 * time.Second}, {time.Second, 12 * time.Second}} {
		for _, returns := range []int{1, 3} {
			without, with := overload(c.objective, c.limit, returns, false), overload(c.objective, c.limit, returns, true)
			t.Logf("objective %v, %d returns, by the load: %+v, within the objective: %+v", c.objective, returns, without, with)
			require.Greater(t, float64(with.inTime), 1.25*float64(without.inTime), "a quarter more are served in time")
			require.Less(t, with.late, without.late/10)
		}
	}
}
