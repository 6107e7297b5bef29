package replay

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/flamingowind/flamingowind/pkg/pace"
	"github.com/flamingowind/flamingowind/pkg/placement"
	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/shedding"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// CallLoad is a load of calls to a plain service, played against a model of its instances.
type CallLoad struct {
	Seed uint64
	// Instances have Slots each and let Room calls wait.
	Instances, Slots, Room int
	// Call is the mean time of a call.
	Call time.Duration
	// PerSecond calls come on the average, Clump together.
	PerSecond float64
	Clump     int
	For       time.Duration
	// Routers get the calls in turn; they tell each other their work every Exchange.
	Routers  int
	Exchange time.Duration
	// Objective is the time in which an answer is on time.
	Objective time.Duration
	// KeepsIdle is how long an instance keeps an idle connection, Opening how long a new one takes; both
	// 0 where connections aren't played. Connected: instances to which a router is connected are
	// preferred.
	KeepsIdle, Opening time.Duration
	Connected          bool
}

// CallResult counts how calls ended; Repeats are those that an instance refused, Opened those that
// opened a connection.
type CallResult struct {
	Asked, OnTime, Late, Refused, Repeats, Opened int
}

// callRouter is one router with what it knows.
type callRouter struct {
	index   int
	calls   pace.CallTimes
	inflows *placement.Inflows
	own     map[upstream.ID]int
	others  map[upstream.ID]int
}

// callInstance models one instance: running calls end at the times in ends, the rest waits.
type callInstance struct {
	in   *upstream.Instance
	free []time.Duration // when each slot is free
	ends []time.Duration // ends of calls that run or wait
}

// take adds a call that comes at now; ok is false when the instance is full.
func (c *callInstance) take(now, long time.Duration, room int) (end time.Duration, ok bool) {
	ends := c.ends[:0]
	for _, e := range c.ends {
		if e > now {
			ends = append(ends, e)
		}
	}
	c.ends = ends
	if len(c.ends) >= len(c.free)+room {
		return 0, false
	}
	slot := 0
	for i := range c.free {
		if c.free[i] < c.free[slot] {
			slot = i
		}
	}
	end = max(now, c.free[slot]) + long
	c.free[slot], c.ends = end, append(c.ends, end)
	return end, true
}

// RunCalls plays a load. With learning off calls are taken for as long as fixed says.
func RunCalls(l CallLoad, learn bool, fixed time.Duration) CallResult {
	w := newCallWorld(l, learn, fixed)
	random := rand.New(rand.NewPCG(l.Seed, 1))
	var result CallResult
	for at := time.Duration(0); at < l.For; {
		at += time.Duration(random.ExpFloat64() * float64(l.Clump) / l.PerSecond * float64(time.Second))
		for range l.Clump {
			result.Asked++
			w.arrive(at, random, &result)
		}
	}
	return result
}

type callWorld struct {
	load      CallLoad
	learn     bool
	pace      placement.Speed
	instances map[upstream.ID]*callInstance
	list      []*upstream.Instance
	routers   []*callRouter
	// pending are calls under way, in the order of their ends.
	pending []callEnd
	next    int
	told    time.Duration
	conns   *connections
}

type callEnd struct {
	at       time.Duration
	router   *callRouter
	instance upstream.ID
	took     time.Duration
	waiting  int
}

func newCallWorld(l CallLoad, learn bool, fixed time.Duration) *callWorld {
	w := &callWorld{load: l, learn: learn, pace: placement.Speed{TokensPerMs: 1, SlotTurn: fixed}, instances: make(map[upstream.ID]*callInstance),
		conns: newConnections(Service{KeepsIdle: l.KeepsIdle, Opening: l.Opening})}
	for i := range l.Instances {
		in := &upstream.Instance{ID: upstream.ID(fmt.Sprint("i-", i)), Service: "s", Slots: l.Slots}
		w.list = append(w.list, in)
		w.instances[in.ID] = &callInstance{in: in, free: make([]time.Duration, l.Slots)}
	}
	for i := range l.Routers {
		w.routers = append(w.routers, &callRouter{index: i, inflows: placement.NewInflows(), own: make(map[upstream.ID]int), others: make(map[upstream.ID]int)})
	}
	return w
}

// arrive plays one call that comes at a time.
func (w *callWorld) arrive(at time.Duration, random *rand.Rand, result *CallResult) {
	w.settle(at)
	r := w.routers[w.next%len(w.routers)]
	w.next++
	tried := make(map[upstream.ID]bool)
	for range 2 {
		c, ok := w.choose(r, tried, at, random)
		if !ok {
			break
		}
		in := c.Candidate.Instance
		tried[in.ID] = true
		waiting := placement.QueueLength(c.Candidate.Load, in.Slots)
		opened := w.opens(r, in, at)
		end, taken := w.instances[in.ID].take(at+opened, time.Duration((0.5+random.Float64())*float64(w.load.Call)), w.load.Room)
		if !taken {
			result.Repeats++
			continue
		}
		if opened > 0 {
			result.Opened++
		}
		r.own[in.ID]++
		r.inflows.Assign("s", c.AddedCost, w.clock(at))
		w.pending = append(w.pending, callEnd{at: end, router: r, instance: in.ID, took: end - at, waiting: waiting})
		if end-at <= w.load.Objective {
			result.OnTime++
		} else {
			result.Late++
		}
		return
	}
	result.Refused++
}

// opens is how long a router takes for a connection to an instance, 0 when it has one.
func (w *callWorld) opens(r *callRouter, in *upstream.Instance, at time.Duration) time.Duration {
	if w.conns.use(connectionEnds{router: r.index, engine: in.ID}, at) {
		return 0
	}
	return w.load.Opening
}

func (w *callWorld) clock(at time.Duration) time.Time { return time.Unix(1, 0).Add(at) }

// settle ends calls that are over, and exchanges reports that are due.
func (w *callWorld) settle(now time.Duration) {
	sort.Slice(w.pending, func(i, j int) bool { return w.pending[i].at < w.pending[j].at })
	for len(w.pending) > 0 && w.pending[0].at <= now {
		e := w.pending[0]
		w.pending = w.pending[1:]
		e.router.own[e.instance]--
		w.conns.release(connectionEnds{router: e.router.index, engine: e.instance}, e.at)
		if w.learn {
			e.router.calls.Observe("s", e.took, e.waiting, w.load.Slots)
		}
	}
	if now-w.told < w.load.Exchange {
		return
	}
	w.told = now
	w.tellInflows(w.clock(now))
	for _, in := range w.list {
		total := 0
		for _, r := range w.routers {
			total += r.own[in.ID]
		}
		for _, r := range w.routers {
			r.others[in.ID] = total - r.own[in.ID]
		}
	}
}

// tellInflows tells each router what the others give.
func (w *callWorld) tellInflows(now time.Time) {
	var total placement.Inflow
	for _, r := range w.routers {
		total.Rate += r.inflows.Own(now)["s"].Rate
	}
	for _, r := range w.routers {
		rest := placement.Inflow{Rate: total.Rate - r.inflows.Own(now)["s"].Rate}
		r.inflows.SetOthers(map[string]placement.Inflow{"s": rest}, now)
	}
}

func (w *callWorld) choose(r *callRouter, tried map[upstream.ID]bool, at time.Duration, random *rand.Rand) (placement.Choice, bool) {
	var candidates []placement.Candidate
	for _, in := range w.list {
		if !tried[in.ID] {
			candidates = append(candidates, placement.Candidate{Instance: in, Load: placement.Load{Running: r.own[in.ID] + r.others[in.ID]},
				Connected: w.conns.connected(connectionEnds{router: r.index, engine: in.ID}, at)})
		}
	}
	p := w.pace
	long := r.calls.Mean("s")
	if w.learn {
		p.CallTime = long
	}
	cost := time.Duration(0)
	if w.load.Connected {
		cost = w.load.Opening
	}
	v := placement.Choose(placement.Request{ConnectCost: cost, Service: &routing.Service{Name: "s"}, Limits: shedding.CallLimits(w.load.Objective, 0, long),
		Unseen: r.inflows.Unseen("s", w.clock(at)), Random: random.Float64()}, candidates, p)
	return v.Choice, v.OK
}
