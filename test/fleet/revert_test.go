package fleet

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// Router 3 is cut off and misses that a key is withdrawn. Router 4 has the change in
// force, dies, and comes back with no state on 3's side of the cut, all before 3's
// confirmation lapses. All that 4 hears is 3's old version, lately confirmed. It must
// not open to the key that it refused before its death.
func TestRestartedRouterDoesNotServeAStalePeersVersion(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, fleettest.Plan(5, 1, 1))
	f.WaitInForce(f.Accept(0, fleettest.PutKey(1)).Version, f.All())
	watch := f.WatchVersions()
	f.Partition(3)
	f.WaitInForce(f.Accept(0, fleettest.PutKey(2)).Version, f.But(3))
	f.Kill(4)
	f.Partition(3, 4)
	f.JoinPair(3, 4)
	require.NoError(t, f.Routers[4].Start())
	f.Eventually("the stale confirmation lapses", func() error {
		open, _ := f.Opens(4, fleettest.Key(1)) // no answer until it has started
		require.False(t, open, "the withdrawn key opens the restarted router")
		if _, err := f.Status(f.Ctx, 4); err != nil {
			return err
		}
		stale, err := f.Status(f.Ctx, 3)
		if err == nil && stale.Basis != config.BasisNone {
			err = errors.New("not lapsed yet")
		}
		return err
	})
	f.Mend(3, 4)
	f.EventuallyEach("both rejoin", f.All(), func(i int) error { return opens(f, i, fleettest.Key(2)) })
	_, stepsBack := watch.Stop()
	require.Empty(t, stepsBack)
}

// A router that hears no peer shows an operator the newest configuration, read from
// the table, and then the table goes out. What it shows next must not be older, or the
// operator takes an accepted change for reverted.
func TestRouterKeepsTheVersionThatItShowed(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, fleettest.Plan(5, 1, 1))
	f.Isolate(4)
	written := f.Accept(0, fleettest.PutKey(1))
	shown, err := f.Organisation(f.Ctx, 4, "course")
	require.NoError(t, err)
	require.Equal(t, written.Version, shown.Version)
	f.SetFaults(platform.Faults{TableDown: true})
	shown, err = f.Organisation(f.Ctx, 4, "course")
	require.NoError(t, err)
	require.NotNil(t, shown, "the organisation that was shown is gone")
	require.Equal(t, written.Version, shown.Version)
	f.Rejoin(4)
	f.SetFaults(platform.Faults{})
	f.WaitInForce(written.Version, f.All())
}
