package warmup

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// Durations in the simulated fleet.
const (
	simTick = 20 * time.Millisecond
	simTime = 20 * time.Second
	// maxViewDelay is the maximum delay after which a router sees that another one joined or left.
	maxViewDelay = 1200 * time.Millisecond
	// simFaultInterval is the time between two injections of faults.
	simFaultInterval = 3 * time.Second
)

// simRouter is one router of a simulated fleet.
type simRouter struct {
	name string
	fleet
	gate *Gate
	// running is false while it is dead or frozen.
	running bool
	// dead is whether it restarts as a new process when it runs again.
	dead bool
	// pending holds the changes of the fleet that it hasn't seen yet.
	pending []simChange
}

// simChange is a router that joined or left, as seen by another one.
type simChange struct {
	router string
	listed bool
	due    time.Time
}

// simFleet is a fleet whose routers all send as much as they may to one cold upstream.
type simFleet struct {
	t       *rapid.T
	now     time.Time
	routers []*simRouter
	// random makes the choices that rapid need not shrink: view delays, and which routers send.
	random *rand.Rand
	// listed holds the routers that take part.
	listed   []string
	sent     []time.Time
	upstream upstream.Instance
}

func newSimFleet(t *rapid.T, maxRouters int) *simFleet {
	f := &simFleet{t: t, now: time.Now(), upstream: newUpstream("i", "a", 3*time.Second)}
	f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for i := range rapid.IntRange(1, maxRouters).Draw(t, "routers") {
		f.listed = append(f.listed, "r"+strconv.Itoa(i))
	}
	for _, name := range f.listed {
		r := &simRouter{name: name, running: true}
		f.start(r, f.now.Add(-time.Minute))
		f.routers = append(f.routers, r)
	}
	return f
}

// start gives a router a new process that has seen its fleet since the given time.
func (f *simFleet) start(r *simRouter, since time.Time) {
	r.current = true
	if r.roster.Known == 0 {
		r.roster.Known = len(f.listed)
	}
	r.roster = Roster{Self: r.name, Routers: f.listed, Since: since, Joined: since, Known: r.roster.Known}
	r.gate = r.fleet.gate()
	r.gate.SetUpstreams(upstream.NewSet([]upstream.Instance{f.upstream}), f.now)
}

// injectFaults kills, freezes or restarts up to maxFaults routers at once.
func (f *simFleet) injectFaults(maxFaults int) {
	for range rapid.IntRange(1, maxFaults).Draw(f.t, "faults") {
		f.toggle(f.pickTopRanked())
	}
}

// pickTopRanked draws one of the routers that rank highest for the upstream: its assignees and
// those that take their place.
func (f *simFleet) pickTopRanked() *simRouter {
	var names []string
	for _, r := range f.routers {
		names = append(names, r.name)
	}
	name := rapid.SampledFrom(topRanked(f.upstream.Life(), 2*maxAssignees, names)).Draw(f.t, "router")
	return f.routers[slices.Index(names, name)]
}

// toggle kills or freezes a running router, or restarts it otherwise.
func (f *simFleet) toggle(r *simRouter) {
	if r.running {
		r.running, r.dead = false, rapid.Bool().Draw(f.t, "dead")
		f.listed = slices.DeleteFunc(slices.Clone(f.listed), func(s string) bool { return s == r.name })
	} else {
		r.running = true
		f.listed = append(slices.Clone(f.listed), r.name)
		slices.Sort(f.listed)
		if r.dead {
			f.start(r, f.now)
			r.pending = nil
		}
		unseen := r.pending
		r.pending = nil
		for _, c := range unseen {
			f.scheduleChange(r, c.router, c.listed)
		}
	}
	for _, other := range f.routers {
		if other != r {
			f.scheduleChange(other, r.name, r.running)
		}
	}
}

// scheduleChange shows a router a change after a random delay. Changes of one router are seen in
// order, because liveness follows the latest report heard from it.
func (f *simFleet) scheduleChange(r *simRouter, changed string, listed bool) {
	due := f.now.Add(time.Duration(f.random.Int64N(int64(maxViewDelay))))
	for _, c := range r.pending {
		if c.router == changed && c.due.After(due) {
			due = c.due
		}
	}
	r.pending = append(r.pending, simChange{router: changed, listed: listed, due: due})
}

// applyChanges applies the changes that are due to a router's roster.
func (f *simFleet) applyChanges(r *simRouter) {
	var rest []simChange
	for _, c := range r.pending {
		if f.now.Before(c.due) {
			rest = append(rest, c)
			continue
		}
		routers := slices.DeleteFunc(slices.Clone(r.roster.Routers), func(s string) bool { return s == c.router })
		if c.listed {
			routers = append(routers, c.router)
			slices.Sort(routers)
		}
		r.roster.Routers, r.roster.Since = routers, f.now
	}
	r.pending = rest
}

func (f *simFleet) step() {
	f.now = f.now.Add(simTick)
	for _, r := range f.routers {
		if !r.running {
			continue
		}
		f.applyChanges(r)
		for f.random.IntN(4) > 0 && r.gate.Acquire(&f.upstream, coldService, f.now) {
			f.sent = append(f.sent, f.now)
		}
	}
}

// maxPerSecond returns the maximum number of requests in any second.
func (f *simFleet) maxPerSecond() int {
	most := 0
	for i, at := range f.sent {
		n := 0
		for _, other := range f.sent[i:] {
			if other.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against routers that together exceed the limit while one or two of them die, freeze,
// resume or start at once, and the others see that late and at different times.
func TestColdLimitHoldsWhileRoutersFailAndRestart(t *testing.T) {
	for most, size := range map[int]int{1: 9, 2: 24} {
		t.Run(strconv.Itoa(most), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkColdLimit(t, most, size) })
		})
	}
}

// checkColdLimit simulates a fleet of up to size routers, with faults in up to maxFaults of them
// at once.
func checkColdLimit(t *rapid.T, maxFaults, size int) {
	f := newSimFleet(t, size)
	end, next := f.now.Add(simTime), f.now
	for f.now.Before(end) {
		if !f.now.Before(next) {
			f.injectFaults(maxFaults)
			next = f.now.Add(simFaultInterval)
		}
		// A changed report each time keeps the upstream cold throughout.
		f.upstream.WarmupLeft++
		for _, r := range f.routers {
			r.gate.SetUpstreams(upstream.NewSet([]upstream.Instance{f.upstream}), f.now)
		}
		f.step()
	}
	require.LessOrEqual(t, f.maxPerSecond(), coldLimit)
}
