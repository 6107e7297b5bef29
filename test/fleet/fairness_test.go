package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/config"
)

// The fairness load: one engine with few slots, so that a policy that isn't fair
// passes the bound within a second or two.
const (
	fairSlots   = 4
	fairLargest = 120 // tokens
	// fairBound is the bound of the Virtual Token Counter (Sheng et al., OSDI 2024,
	// theorem 4.4) for two backlogged clients of equal weight: 2·U, where U is the most
	// service that can be in progress at once, here every slot with a largest request.
	fairBound = 2 * fairSlots * fairLargest
	// fairTakeOver is what one more keeper adds: the new counters are merged from the
	// values in grants, which can miss what was in progress, at most U.
	fairTakeOver = fairSlots * fairLargest
)

func startFair(t *testing.T) (*fleettest.Fleet, *fleettest.Traffic) {
	plan := fleettest.Plan(4, 1, 3)
	plan.Slots = fairSlots
	f := fleettest.Start(t, plan)
	lengths := fleettest.Lengths{Least: 6, Most: fairLargest}
	// A flood over all routers, a middle organisation at two, a small one at one.
	traffic := f.Send(
		fleettest.Senders{Org: 0, Routers: f.All(), Count: 60, Lengths: lengths},
		fleettest.Senders{Org: 1, Routers: []int{0, 1}, Count: 14, Lengths: lengths},
		fleettest.Senders{Org: 2, Routers: []int{3}, Count: 8, Lengths: lengths},
	)
	return f, traffic
}

func requireFair(t *testing.T, f *fleettest.Fleet, traffic *fleettest.Traffic, bound float64) {
	t.Helper()
	run := traffic.Stop()
	report := f.Report(run)
	last := run.Samples[len(run.Samples)-1].Tokens
	t.Logf("gap %+v of a bound of %v; tokens %v; audit %+v", report.Gap, bound, last, report.Audit)
	require.True(t, report.Clean(), "%v", report.Faults)
	require.LessOrEqual(t, report.GapTokens, bound)
	for i, tokens := range last {
		require.NotZero(t, tokens, "%s starved", run.Orgs[i].Name)
	}
	f.WaitIdle(fairSlots)
}

// One organisation floods all routers, a small one asks at one router only. Costs are
// heavy-tailed and known only at the end. As long as both wait, neither may get ahead
// of the other by more than the bound, wherever their callers came in.
func TestGapStaysBoundedBesideAFlood(t *testing.T) {
	t.Parallel()
	f, traffic := startFair(t)
	traffic.WaitWhole(300)
	requireFair(t, f, traffic, fairBound)
}

// The same while the keeper, which holds the counters, is killed, and then its
// successor is paused until another one takes over. Counters rebuilt from the
// routers' reports must not give one organisation its share twice.
func TestGapStaysBoundedAcrossAKillAndAPauseOfTheKeeper(t *testing.T) {
	t.Parallel()
	f, traffic := startFair(t)
	traffic.WaitWhole(100)
	first := f.BackloggedKeeper(f.All())
	f.Kill(first)
	f.BackloggedKeeper(f.But(first))
	traffic.WaitWhole(100)
	restart(t, f, first)
	traffic.WaitWhole(50)
	second := f.BackloggedKeeper(f.All())
	require.NoError(t, f.Routers[second].Pause())
	f.BackloggedKeeper(f.But(second))
	traffic.WaitWhole(100)
	require.NoError(t, f.Routers[second].Resume())
	f.WaitBasis(config.BasisConfirmed, f.All())
	traffic.WaitWhole(100)
	// Four take-overs: the kill, the restart, the pause and its end.
	requireFair(t, f, traffic, fairBound+4*fairTakeOver)
}
