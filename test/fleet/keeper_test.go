package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// backlog keeps two organisations waiting at all four routers.
func backlog(f *fleettest.Fleet) *fleettest.Traffic {
	lengths := fleettest.Lengths{Least: 10, Most: 150}
	return f.Send(
		fleettest.Senders{Org: 0, Routers: []int{0, 1}, Count: 16, Lengths: lengths},
		fleettest.Senders{Org: 1, Routers: []int{2, 3}, Count: 16, Lengths: lengths},
	)
}

func startBacklogged(t *testing.T) (*fleettest.Fleet, *fleettest.Traffic, int) {
	plan := fleettest.Plan(4, 2, 2)
	plan.Slots = 4
	f := fleettest.Start(t, plan)
	traffic := backlog(f)
	traffic.WaitWhole(20)
	return f, traffic, f.BackloggedKeeper(f.All())
}

// The router that keeps the cell dies in the middle of a backlog, while the table is
// out. Its own callers see their connections break, never a short answer that looks
// whole; everybody else's waiting requests are granted by the next keeper. The router
// comes back with no state, and no slot stays held for what died with it.
func TestKeeperIsKilledWhileTheTableIsOut(t *testing.T) {
	t.Parallel()
	f, traffic, keeper := startBacklogged(t)
	f.SetFaults(platform.Faults{TableDown: true})
	f.WaitBasis(config.BasisMajority, f.All())
	f.Kill(keeper)
	require.NotEqual(t, keeper, f.BackloggedKeeper(f.But(keeper)))
	traffic.WaitWhole(40)
	restart(t, f, keeper)
	traffic.WaitWhole(40)
	f.SetFaults(platform.Faults{})
	f.WaitBasis(config.BasisConfirmed, f.All())
	audit := f.Audit(traffic.Stop().Results)
	t.Logf("%+v", audit)
	require.True(t, audit.Clean(), "%v", audit.Faults)
	require.NotZero(t, audit.Excused, "the kill hit no request")
	f.WaitIdle(8)
}

// The keeper's process stands still for longer than the fleet waits for it, another
// router takes the cell over, and then the first wakes up and believes for a moment
// that it still keeps it. No request may run twice, none may be lost at either, and
// no slot may stay held.
func TestKeeperIsPausedAndWakesUpBesideItsSuccessor(t *testing.T) {
	t.Parallel()
	f, traffic, keeper := startBacklogged(t)
	require.NoError(t, f.Routers[keeper].Pause())
	f.BackloggedKeeper(f.But(keeper))
	traffic.WaitWhole(40)
	require.NoError(t, f.Routers[keeper].Resume())
	f.WaitBasis(config.BasisConfirmed, f.All())
	traffic.WaitWhole(40)
	audit := f.Audit(traffic.Stop().Results)
	t.Logf("%+v", audit)
	require.True(t, audit.Clean(), "%v", audit.Faults)
	f.WaitIdle(8)
}

// A router that isn't the keeper dies with requests on the engines and never comes
// back. The keeper can't hear from it that they ended; when it is declared dead its
// slots must come free, or each such death would take capacity away for good.
func TestSlotsOfADeadRouterComeFree(t *testing.T) {
	t.Parallel()
	f, traffic, keeper := startBacklogged(t)
	dead := (keeper + 1) % len(f.Routers)
	f.Kill(dead)
	traffic.WaitWhole(60)
	audit := f.Audit(traffic.Stop().Results)
	t.Logf("%+v", audit)
	require.True(t, audit.Clean(), "%v", audit.Faults)
	require.NotZero(t, audit.Excused, "the kill hit no request")
	f.WaitIdleAt(f.But(dead), 8)
}
