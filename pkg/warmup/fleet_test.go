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

// Times of the simulated fleet.
const (
	simTick = 20 * time.Millisecond
	simTime = 20 * time.Second
	// simLag is how late a router may see that another one came or went.
	simLag = 1200 * time.Millisecond
	// simPause is the least time between two troubles.
	simPause = 3 * time.Second
)

// simRouter is one router of a simulated fleet.
type simRouter struct {
	name string
	fleet
	gate *Gate
	// runs is false while it is dead, frozen or both.
	runs bool
	// dead is whether it starts anew when it runs again.
	dead bool
	// unseen are the changes of the fleet that it will see yet.
	unseen []simChange
}

// simChange is a router that came or went, as another one sees it.
type simChange struct {
	router string
	listed bool
	due    time.Time
}

// simFleet are routers that all send as much as they may to one cold upstream.
type simFleet struct {
	t       *rapid.T
	now     time.Time
	routers []*simRouter
	// random decides what needs no smallest example: how late routers see, and who asks.
	random *rand.Rand
	// listed are the routers that take part.
	listed   []string
	sent     []time.Time
	upstream upstream.Instance
}

func newSimFleet(t *rapid.T, most int) *simFleet {
	f := &simFleet{t: t, now: time.Now(), upstream: engine("i", "a", 3*time.Second)}
	f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for i := range rapid.IntRange(1, most).Draw(t, "routers") {
		f.listed = append(f.listed, "r"+strconv.Itoa(i))
	}
	for _, name := range f.listed {
		r := &simRouter{name: name, runs: true}
		f.start(r, f.now.Add(-time.Minute))
		f.routers = append(f.routers, r)
	}
	return f
}

// start gives a router a new process that has seen its fleet since a time.
func (f *simFleet) start(r *simRouter, since time.Time) {
	r.current = true
	if r.roster.Known == 0 {
		r.roster.Known = len(f.listed)
	}
	r.roster = Roster{Self: r.name, Routers: f.listed, Since: since, Joined: since, Known: r.roster.Known}
	r.gate = r.fleet.gate()
	r.gate.Follow(upstream.NewSet([]upstream.Instance{f.upstream}), f.now)
}

// trouble kills or freezes some routers at once, or brings them back.
func (f *simFleet) trouble(most int) {
	for range rapid.IntRange(1, most).Draw(f.t, "struck") {
		f.strike(f.anyOfFirst())
	}
}

// anyOfFirst is one of the routers that rank first for the upstream: those that it is assigned to and
// those that take their place.
func (f *simFleet) anyOfFirst() *simRouter {
	var names []string
	for _, r := range f.routers {
		names = append(names, r.name)
	}
	struck := rapid.SampledFrom(first(f.upstream.Life(), 2*maxAssignees, names)).Draw(f.t, "router")
	return f.routers[slices.Index(names, struck)]
}

// strike kills or freezes a router, or brings it back.
func (f *simFleet) strike(r *simRouter) {
	if r.runs {
		r.runs, r.dead = false, rapid.Bool().Draw(f.t, "dead")
		f.listed = slices.DeleteFunc(slices.Clone(f.listed), func(s string) bool { return s == r.name })
	} else {
		r.runs = true
		f.listed = append(slices.Clone(f.listed), r.name)
		slices.Sort(f.listed)
		if r.dead {
			f.start(r, f.now)
			r.unseen = nil
		}
		unseen := r.unseen
		r.unseen = nil
		for _, c := range unseen {
			f.show(r, c.router, c.listed)
		}
	}
	for _, other := range f.routers {
		if other != r {
			f.show(other, r.name, r.runs)
		}
	}
}

// show lets a router see a change after a while. Changes of one router are seen in their order: a
// router counts as alive by the newest report that was heard of it.
func (f *simFleet) show(r *simRouter, changed string, listed bool) {
	due := f.now.Add(time.Duration(f.random.Int64N(int64(simLag))))
	for _, c := range r.unseen {
		if c.router == changed && c.due.After(due) {
			due = c.due
		}
	}
	r.unseen = append(r.unseen, simChange{router: changed, listed: listed, due: due})
}

// see shows a router each change of the fleet as late as it sees it.
func (f *simFleet) see(r *simRouter) {
	var rest []simChange
	for _, c := range r.unseen {
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
	r.unseen = rest
}

func (f *simFleet) step() {
	f.now = f.now.Add(simTick)
	for _, r := range f.routers {
		if !r.runs {
			continue
		}
		f.see(r)
		for f.random.IntN(4) > 0 && r.gate.Take(&f.upstream, engines, f.now) {
			f.sent = append(f.sent, f.now)
		}
	}
}

// worst is the most that was sent in any second.
func (f *simFleet) worst() int {
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

// Guards against routers that send too much together while one or two of them die, freeze, wake or
// start at once, and the others see it late and at different times.
func TestColdUpstreamsKeepTheirBoundWhileRoutersComeAndGo(t *testing.T) {
	for most, size := range map[int]int{1: 9, 2: 24} {
		t.Run(strconv.Itoa(most), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { keepsBound(t, most, size) })
		})
	}
}

// keepsBound plays a fleet of up to size routers, of which up to most are struck at once.
func keepsBound(t *rapid.T, most, size int) {
	f := newSimFleet(t, size)
	end, next := f.now.Add(simTime), f.now
	for f.now.Before(end) {
		if !f.now.Before(next) {
			f.trouble(most)
			next = f.now.Add(simPause)
		}
		// The upstream stays cold throughout: what it says is anew each time.
		f.upstream.WarmupLeft++
		for _, r := range f.routers {
			r.gate.Follow(upstream.NewSet([]upstream.Instance{f.upstream}), f.now)
		}
		f.step()
	}
	require.LessOrEqual(t, f.worst(), bound)
}
