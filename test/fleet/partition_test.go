package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// A switch fails and two routers of five see only each other. The two must stop
// accepting, with refusals that are true, and the three others go on, also when the
// table goes out on top of it. When the switch is back all five serve again.
func TestMinorityStopsAndMajorityGoesOnDuringAnOutage(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, fleettest.Plan(5, 2, 2))
	majority, minority := []int{0, 1, 2}, []int{3, 4}
	traffic := f.Send(fleettest.Senders{Org: 0, Routers: majority, Count: 6, Stay: true, Lengths: fleettest.Lengths{Least: 4, Most: 60}})
	f.Partition(minority...)
	f.WaitBasis(config.BasisNone, minority)
	asked := askRefused(t, f, minority, "cut-off")
	traffic.WaitWhole(50)

	f.SetFaults(platform.Faults{TableDown: true})
	f.WaitBasis(config.BasisMajority, majority)
	traffic.WaitWhole(50)
	asked = append(asked, askRefused(t, f, minority, "outage")...)

	f.Mend(minority...)
	f.WaitBasis(config.BasisMajority, minority)
	asked = append(asked, askWhole(t, f, minority, "rejoined")...)
	f.SetFaults(platform.Faults{})
	f.WaitBasis(config.BasisConfirmed, f.All())

	sent := traffic.Stop()
	audit := f.Audit(append(sent.Results, asked...))
	t.Logf("%+v", audit)
	require.True(t, audit.Clean(), "%v", audit.Faults)
	require.Equal(t, len(askedRefused(asked)), audit.Refused, "the majority refused requests: %v", audit.Codes)
	f.WaitIdle(16)
}

// askRefused checks that each router refuses as not run, being stale.
func askRefused(t *testing.T, f *fleettest.Fleet, list []int, why string) []load.Result {
	t.Helper()
	var asked []load.Result
	for _, i := range list {
		r := f.Ask(i, 1, fmt.Sprintf("%s-%d", why, i))
		require.Equal(t, load.Refused, r.Outcome, "router %d: %s", i, r.Fault)
		require.Equal(t, verdict.NotRun, r.Verdict)
		require.Equal(t, string(verdict.CodeStale), r.Code)
		asked = append(asked, r)
	}
	return asked
}

func askWhole(t *testing.T, f *fleettest.Fleet, list []int, why string) []load.Result {
	t.Helper()
	var asked []load.Result
	for _, i := range list {
		r := f.Ask(i, 1, fmt.Sprintf("%s-%d", why, i))
		require.Equal(t, load.Whole, r.Outcome, "router %d: %s", i, r.Fault)
		asked = append(asked, r)
	}
	return asked
}

func askedRefused(asked []load.Result) []load.Result {
	var refused []load.Result
	for _, r := range asked {
		if r.Outcome == load.Refused {
			refused = append(refused, r)
		}
	}
	return refused
}

// Requests wait at a router when it is cut off. Those not yet sent to an engine must
// not run on a configuration that may be out of date, and none may hang: each ends
// whole, or refused as not run. After the rejoin the router serves again.
func TestWaitingRequestsOfACutOffRouterEndTruthfully(t *testing.T) {
	t.Parallel()
	plan := fleettest.Plan(3, 1, 2)
	plan.Slots = 2
	f := fleettest.Start(t, plan)
	traffic := f.Send(
		fleettest.Senders{Org: 0, Routers: []int{2}, Count: 12, Stay: true, Lengths: fleettest.Lengths{Least: 20, Most: 200}},
		fleettest.Senders{Org: 1, Routers: []int{0}, Count: 4, Stay: true, Lengths: fleettest.Lengths{Least: 20, Most: 200}},
	)
	f.BackloggedKeeper(f.All())
	f.Partition(2)
	f.WaitBasis(config.BasisNone, []int{2})
	askRefused(t, f, []int{2}, "cut-off")
	// What was sent to the engine before is served first by then: it takes requests in
	// order of arrival, and at most 4 of the 10 were sent before.
	traffic.WaitWhole(10)
	from := time.Now()
	traffic.WaitWhole(10)
	to := time.Now()
	f.Mend(2)
	f.WaitBasis(config.BasisConfirmed, f.All())
	f.Eventually("the rejoined router serves", func() error {
		if r := f.Ask(2, 1, "rejoined"); r.Outcome != load.Whole {
			return errors.New(r.Fault)
		}
		return nil
	})
	audit := f.Audit(traffic.Stop().Results)
	t.Logf("%+v", audit)
	require.True(t, audit.Clean(), "%v", audit.Faults)
	requireNothingStarted(t, f, f.Ready.Organisations[0].Name, from, to)
	f.WaitIdle(2)
}

// requireNothingStarted checks that no request of the organisation began to run
// between the two moments.
func requireNothingStarted(t *testing.T, f *fleettest.Fleet, org string, from, to time.Time) {
	t.Helper()
	attempts, err := load.Journals(f.Ctx, f.Current().Upstreams)
	require.NoError(t, err)
	for _, a := range attempts {
		if strings.HasPrefix(a.Marker, org) {
			require.False(t, a.Started.After(from) && a.Started.Before(to), "%s began at a router that was cut off", a.Marker)
		}
	}
}
