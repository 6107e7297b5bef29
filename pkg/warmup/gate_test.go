package warmup

import (
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

var discardLog = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}

// coldService has a limit of 20 requests per second (coldLimit) for each cold upstream, with
// factor 1.5 and slack 5.
var coldService = &routing.Service{Name: "llm", Warmup: 3 * time.Second, ColdPerSecond: 10}

const coldLimit = 20

func newUpstream(id string, zone string, left time.Duration) upstream.Instance {
	return upstream.Instance{ID: upstream.ID(id), Service: "llm", Zone: zone, State: upstream.Ready, WarmupTold: true, WarmupLeft: left}
}

// fleet is one router's view of its fleet.
type fleet struct {
	roster  Roster
	current bool
}

func (f *fleet) gate() *Gate {
	g := NewGate(func(time.Time) Roster { return f.roster }, func(time.Time) bool { return f.current }, discardLog)
	g.SetLimit(1.5, 5)
	return g
}

// singleRouter returns a fleet of one router that has been running since the given time.
func singleRouter(since time.Time) *fleet {
	return &fleet{roster: Roster{Self: "r", Routers: []string{"r"}, Since: since, Joined: since, Known: 1}, current: true}
}

// countAllowed returns how many of n simultaneous requests the gate allows.
func countAllowed(g *Gate, in upstream.Instance, n int, now time.Time) int {
	passed := 0
	for range n {
		if g.Acquire(&in, coldService, now) {
			passed++
		}
	}
	return passed
}

// Guards against a thundering herd that crashes an upstream which has just started.
func TestColdUpstreamGetsAtMostItsLimit(t *testing.T) {
	now := time.Now()
	f := singleRouter(now.Add(-time.Minute))
	g := f.gate()
	warm := newUpstream("warm", "a", 0)
	g.SetUpstreams(upstream.NewSet([]upstream.Instance{warm}), now)
	require.Equal(t, 1000, countAllowed(g, warm, 1000, now))

	started := newUpstream("new", "a", 3*time.Second)
	g.SetUpstreams(upstream.NewSet([]upstream.Instance{warm, started}), now)
	require.Equal(t, coldLimit, countAllowed(g, started, 1000, now))
	require.False(t, g.Allows(&started, coldService, now.Add(900*time.Millisecond)))
	require.Equal(t, coldLimit, countAllowed(g, started, 1000, now.Add(window)))
	require.Equal(t, 1000, countAllowed(g, started, 1000, now.Add(3*time.Second)), "the upstream is warm")
	require.Equal(t, 1000, countAllowed(g, warm, 1000, now))
}

// Guards against an upstream that is taken for warm because its entry reports nothing, something
// invalid, or a warm state from before its zone was restored.
func TestUpstreamNotReportedWarmIsCold(t *testing.T) {
	now := time.Now()
	g := singleRouter(now.Add(-time.Minute)).gate()
	unreported, invalid, warm := newUpstream("unreported", "a", 0), newUpstream("invalid", "a", 1000*time.Hour), newUpstream("warm", "b", 0)
	unreported.WarmupTold = false
	g.SetUpstreams(upstream.NewSet([]upstream.Instance{unreported, invalid, warm}), now)
	require.True(t, g.IsCold(&unreported, coldService, now.Add(2*time.Second)))
	require.True(t, g.IsCold(&invalid, coldService, now.Add(2*time.Second)))
	require.False(t, g.IsCold(&invalid, coldService, now.Add(3*time.Second)), "an upstream is cold for at most the service's warm-up")
	require.False(t, g.IsCold(&warm, coldService, now))

	g.MarkRestored([]string{"b"}, now)
	require.True(t, g.IsCold(&warm, coldService, now))
	again := warm
	again.Software = "v2"
	g.SetUpstreams(upstream.NewSet([]upstream.Instance{again}), now.Add(time.Second))
	require.True(t, g.IsCold(&again, coldService, now.Add(time.Second)), "an entry with an unchanged warm-up report stays cold")
	require.False(t, g.IsCold(&warm, coldService, now.Add(3*time.Second)))
}

// Guards against an entry from before the restoration of its zone that is read afterwards and still
// reports the upstream as warm.
func TestEntryReadAfterZoneRestorationIsCold(t *testing.T) {
	now := time.Now()
	g := singleRouter(now.Add(-time.Minute)).gate()
	g.MarkRestored([]string{"b"}, now)
	late, elsewhere := newUpstream("late", "b", 0), newUpstream("elsewhere", "a", 0)
	g.SetUpstreams(upstream.NewSet([]upstream.Instance{late, elsewhere}), now.Add(50*time.Millisecond))
	require.True(t, g.IsCold(&late, coldService, now.Add(2*time.Second)))
	require.False(t, g.IsCold(&elsewhere, coldService, now.Add(2*time.Second)))
	require.False(t, g.IsCold(&late, coldService, now.Add(3*time.Second)))
	require.LessOrEqual(t, countAllowed(g, late, 1000, now.Add(2*time.Second)), coldLimit)
}

// Guards against a restoration that is ignored because it happened before this router started.
func TestZoneRestoredBeforeStartIsCold(t *testing.T) {
	now := time.Now()
	g := singleRouter(now.Add(-time.Minute)).gate()
	in := newUpstream("i", "b", 0)
	g.SetUpstreams(upstream.NewSet([]upstream.Instance{in}), now)
	g.MarkRestored([]string{"b"}, now.Add(-time.Second))
	require.True(t, g.IsCold(&in, coldService, now.Add(1900*time.Millisecond)))
	require.False(t, g.IsCold(&in, coldService, now.Add(2*time.Second)))
	g.MarkRestored([]string{"b"}, now.Add(-2*time.Second))
	require.True(t, g.IsCold(&in, coldService, now.Add(1900*time.Millisecond)), "an older restoration changes nothing")
}

// Guards against a restarted upstream that inherits the warm state of its previous life.
func TestNewLifeIsCold(t *testing.T) {
	now := time.Now()
	g := singleRouter(now.Add(-time.Minute)).gate()
	first := newUpstream("i", "a", 0)
	g.SetUpstreams(upstream.NewSet([]upstream.Instance{first}), now)
	second := newUpstream("i", "a", 3*time.Second)
	second.Born = 7
	g.SetUpstreams(upstream.NewSet([]upstream.Instance{second}), now)
	require.True(t, g.IsCold(&second, coldService, now))
}

// Guards against routers that send to cold upstreams although they can't know what others send: a
// partitioned one, one with an outdated list, one that was just assigned the upstream.
func TestRouterWithIncompleteViewSendsNothing(t *testing.T) {
	now := time.Now()
	in := newUpstream("i", "a", 3*time.Second)
	for name, change := range map[string]func(f *fleet){
		"outdated list":   func(f *fleet) { f.current = false },
		"partitioned":     func(f *fleet) { f.roster.Known = 3 },
		"just joined":     func(f *fleet) { f.roster.Joined = now.Add(-time.Second / 2) },
		"not taking part": func(f *fleet) { f.roster.Routers = []string{"s"} },
	} {
		t.Run(name, func(t *testing.T) {
			f := singleRouter(now.Add(-time.Minute))
			change(f)
			g := f.gate()
			g.SetUpstreams(upstream.NewSet([]upstream.Instance{in}), now)
			require.Zero(t, countAllowed(g, in, 100, now))
		})
	}
}

// Guards against routers that rejoin the fleet together and resume as assignees at once, beside
// those that have taken their place.
func TestDisconnectedAssigneeWaitsAgain(t *testing.T) {
	now := time.Now()
	for name, disconnect := range map[string]func(f *fleet){
		"outdated list":    func(f *fleet) { f.current = false },
		"few routers seen": func(f *fleet) { f.roster.Routers, f.roster.Since = []string{"r"}, f.roster.Since.Add(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			all := []string{"r", "s", "t"}
			f := &fleet{roster: Roster{Self: "r", Routers: all, Since: now.Add(-time.Minute), Joined: now.Add(-time.Minute), Known: 3}, current: true}
			g := f.gate()
			in := newUpstream("i", "a", 3*time.Second)
			g.SetUpstreams(upstream.NewSet([]upstream.Instance{in}), now)
			require.Positive(t, countAllowed(g, in, 10, now))
			disconnect(f)
			require.Zero(t, countAllowed(g, in, 10, now.Add(500*time.Millisecond)))
			f.current, f.roster.Routers, f.roster.Since = true, all, now.Add(time.Second)
			require.Zero(t, countAllowed(g, in, 10, now.Add(1300*time.Millisecond)))
			require.Zero(t, countAllowed(g, in, 10, now.Add(1300*time.Millisecond+window/2)))
			require.Positive(t, countAllowed(g, in, 10, now.Add(1300*time.Millisecond+window)))
		})
	}
}

// Guards against cold upstreams that stay idle while requests are refused: their assignees use four
// fifths of the limit, in small fleets three fifths.
func TestAssigneesTogetherUseMostOfTheLimit(t *testing.T) {
	for size, want := range map[int]int{6: 12, maxAssignees: 16, 24: 16} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			total, assignees := countSent(size)
			require.Equal(t, want, total)
			require.Equal(t, min(size, maxAssignees), assignees)
		})
	}
}

// countSent returns how many requests all routers of a fleet send to a cold upstream, and how many
// routers send any.
func countSent(size int) (total, assignees int) {
	now := time.Now()
	routers := make([]string, size)
	for i := range routers {
		routers[i] = "r" + strconv.Itoa(i)
	}
	in := newUpstream("i", "a", 3*time.Second)
	for _, self := range routers {
		f := &fleet{roster: Roster{Self: self, Routers: routers, Since: now.Add(-time.Minute), Joined: now.Add(-time.Minute), Known: size}, current: true}
		g := f.gate()
		g.SetUpstreams(upstream.NewSet([]upstream.Instance{in}), now)
		if n := countAllowed(g, in, 100, now); n > 0 {
			total += n
			assignees++
		}
	}
	return total, assignees
}
