package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/operator"
)

// The whole platform hangs: table, host list and object store take calls and answer
// nothing. Callers go on getting whole answers with the version in force, operators
// are told that a change isn't accepted, and a router that is restarted with no state
// meanwhile serves once a majority told it the version.
func TestFleetGoesOnWhileThePlatformHangs(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, fleettest.Plan(5, 2, 2))
	before := f.Accept(0, fleettest.PutKey(1)).Version
	f.WaitInForce(before, f.All())
	traffic := f.Send(fleettest.Senders{Org: 0, Routers: []int{0, 1, 2}, Count: 6, Stay: true, Lengths: fleettest.Lengths{Least: 4, Most: 60}})
	watch := f.WatchVersions()
	require.NoError(t, f.Platform.Pause())
	f.WaitBasis(config.BasisMajority, f.All())
	traffic.WaitWhole(50)

	f.Kill(4)
	restart(t, f, 4)
	status, err := f.Status(f.Ctx, 4)
	require.NoError(t, err)
	require.Equal(t, before, status.InForce)
	require.Equal(t, config.BasisMajority, status.Basis)
	asked := askWhole(t, f, []int{4}, "restarted")
	_, err = f.Write(f.Ctx, 0, fleettest.PutKey(2))
	var failed *operator.Failure
	require.ErrorAs(t, err, &failed)
	require.Equal(t, operator.CodeNotAccepted, failed.Code)

	require.NoError(t, f.Platform.Resume())
	f.WaitBasis(config.BasisConfirmed, f.All())
	audit := f.Audit(append(traffic.Stop().Results, asked...))
	_, stepsBack := watch.Stop()
	t.Logf("%+v", audit)
	require.True(t, audit.Clean(), "%v", audit.Faults)
	require.Zero(t, audit.Refused, "%v", audit.Codes)
	require.Empty(t, stepsBack)
	f.WaitInForce(f.Accept(1, fleettest.PutKey(2)).Version, f.All())
	f.WaitIdle(16)
}
