package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/operator"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// round is one change of the configuration under faults.
type round struct {
	name string
	// begin brings the faults about before the change, middle after it, end ends them.
	begin, middle, end func()
	// away are the routers that can't hear of the change; the first router accepts it.
	away []int
}

// Operators rotate a course's API key again and again. Meanwhile routers are killed,
// paused and restarted with no state, and the table is slow, loses answers and goes
// out, two things at once. No router may ever go back to an older version, and a
// withdrawn key must not open any router that can be reached.
func TestConfigurationIsInForceEverywhereAndNeverReverts(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, fleettest.Plan(8, 1, 1))
	watch := f.WatchVersions()
	rounds := []round{
		{name: "quiet"},
		{
			name:  "restart with no state, answers of the table lost",
			begin: func() { f.SetFaults(platform.Faults{TableLoseAnswers: 0.5}); f.Kill(1) },
			end:   func() { restart(t, f, 1); f.SetFaults(platform.Faults{}) },
			away:  []int{1},
		},
		{
			name:  "paused router, slow table",
			begin: func() { f.SetFaults(platform.Faults{TableDelayMs: 150}); require.NoError(t, f.Routers[2].Pause()) },
			end:   func() { require.NoError(t, f.Routers[2].Resume()); f.SetFaults(platform.Faults{}) },
			away:  []int{2},
		},
		{
			name:   "restart with no state and end of a pause while the table is out",
			begin:  func() { f.Kill(3); require.NoError(t, f.Routers[4].Pause()) },
			middle: func() { f.SetFaults(platform.Faults{TableDown: true}) },
			end: func() {
				require.NoError(t, f.Routers[4].Resume())
				restart(t, f, 3)
				f.SetFaults(platform.Faults{})
			},
			away: []int{3, 4},
		},
		{
			name:  "the table is out when the change is sent, and comes back",
			begin: func() { refusedDuringOutage(t, f) },
		},
		{name: "quiet again"},
	}
	for n, r := range rounds {
		runRound(t, f, n+1, r)
	}
	f.WaitInForce(measureInForce(t, f, len(rounds)), f.All())
	looks, stepsBack := watch.Stop()
	t.Logf("%d looks at versions", looks)
	require.Empty(t, stepsBack)
	require.Greater(t, looks, 100)
}

func runRound(t *testing.T, f *fleettest.Fleet, n int, r round) {
	run(r.begin)
	written := f.Accept(0, fleettest.PutKey(n))
	accepted := time.Now()
	reached := f.But(r.away...)
	f.WaitInForce(written.Version, reached)
	t.Logf("%s: in force at %d routers %v after the answer", r.name, len(reached), time.Since(accepted).Round(time.Millisecond))
	requireKeys(t, f, n, reached)
	run(r.middle)
	requireKeys(t, f, n, reached)
	run(r.end)
	f.WaitInForce(written.Version, f.All())
	requireKeys(t, f, n, f.All())
}

const (
	measuredChanges = 24
	// inForceLimit is the users' limit for 330 routers; the goal for 8 is 2 s.
	inForceLimit = 18 * time.Second
)

// measureInForce prints how long changes take, each sent to another router, from the
// operator's answer until the last of all routers is seen to have it in force.
func measureInForce(t *testing.T, f *fleettest.Fleet, after int) (version uint64) {
	took := make([]time.Duration, measuredChanges)
	for n := range took {
		version = f.Accept(n%len(f.Routers), fleettest.PutKey(after+n+1)).Version
		accepted := time.Now()
		f.WaitInForce(version, f.All())
		took[n] = time.Since(accepted)
	}
	slices.Sort(took)
	most := took[len(took)-1]
	t.Logf("in force at %d routers: median %v, 99th percentile (the most) of %d changes %v",
		len(f.Routers), took[len(took)/2], len(took), most)
	require.Less(t, most, inForceLimit)
	return version
}

func run(step func()) {
	if step != nil {
		step()
	}
}

// requireKeys checks that the n-th key opens the routers and the one before doesn't.
func requireKeys(t *testing.T, f *fleettest.Fleet, n int, list []int) {
	t.Helper()
	for _, i := range list {
		old, err := f.Opens(i, fleettest.Key(n-1))
		require.NoError(t, err)
		require.False(t, old, "the withdrawn key opens router %d", i)
	}
	f.EventuallyEach("the new key opens", list, func(i int) error { return opens(f, i, fleettest.Key(n)) })
}

func opens(f *fleettest.Fleet, i int, key string) error {
	open, err := f.Opens(i, key)
	if err == nil && !open {
		err = errors.New("the key doesn't open")
	}
	return err
}

// refusedDuringOutage checks that a write during an outage is refused as not accepted,
// and leaves no trace.
func refusedDuringOutage(t *testing.T, f *fleettest.Fleet) {
	f.SetFaults(platform.Faults{TableDown: true})
	_, err := f.Write(f.Ctx, 0, fleettest.PutKey(9000))
	f.SetFaults(platform.Faults{})
	var failed *operator.Failure
	require.ErrorAs(t, err, &failed)
	require.Equal(t, operator.CodeNotAccepted, failed.Code)
	for _, i := range f.All() {
		open, err := f.Opens(i, fleettest.Key(9000))
		require.NoError(t, err)
		require.False(t, open, "a refused change took effect at router %d", i)
	}
}

func restart(t *testing.T, f *fleettest.Fleet, i int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(f.Ctx, fleettest.Deadline)
	defer cancel()
	require.NoError(t, f.Restart(ctx, i))
}

// A course's key leaks and the operator withdraws it while one router is cut off from
// peers and platform. That router can't know. Once its confirmation has lapsed the
// withdrawn key must not open it any more, also not when it rejoins.
func TestWithdrawnKeyDoesNotOpenACutOffRouter(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, fleettest.Plan(8, 1, 1))
	f.WaitInForce(f.Accept(0, fleettest.PutKey(1)).Version, f.All())
	require.NoError(t, opens(f, 5, fleettest.Key(1)))
	f.Partition(5)
	written := f.Accept(0, fleettest.PutKey(2))
	accepted := time.Now()
	f.WaitInForce(written.Version, f.But(5))
	lastOpen := time.Time{}
	f.Eventually("the cut-off router closes", func() error {
		asked := time.Now()
		open, err := f.Opens(5, fleettest.Key(1))
		if err != nil || !open {
			return err
		}
		lastOpen = asked
		return errors.New("the withdrawn key still opens")
	})
	// No slack is needed: what confirmed the old version was asked for before the change.
	within := f.Routers[5].Settings.Timing.ConfirmWithin.Std()
	require.Less(t, lastOpen.Sub(accepted), within, "the confirmation outlived the change")
	f.WaitBasis(config.BasisNone, []int{5})
	f.Mend(5)
	f.Eventually("the router rejoins", func() error {
		open, err := f.Opens(5, fleettest.Key(1))
		require.False(t, open, "the withdrawn key opens a router that rejoined")
		if err != nil {
			return err
		}
		return opens(f, 5, fleettest.Key(2))
	})
}
