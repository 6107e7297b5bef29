package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

const (
	weightEngines = 6
	// weightRate is how often the weight store agrees a second, once at first.
	weightRate = 2.0
	// refusals are so many that each of three routers was refused several times.
	refusals = 12
	// leastPause is the shortest pause of a router that the weight store refused.
	leastPause = 375 * time.Millisecond
)

// A new model goes to all engines at once while the weight store refuses everything and
// the table loses half its answers. Each engine has at most one holder all that time,
// though all routers go for it. Then the weight store agrees twice a second. No engine
// is ordered without its consent, the store isn't hammered, and all have the model.
func TestWeightStoreLimitHoldsForTheFleet(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, plan(weightEngines, true, func(s *settings.Settings) {
		s.Timing.OrderPatience = settings.Duration(time.Millisecond)
	}))
	f.SetFaults(platform.Faults{WeightsPerSecond: 1e-6, TableLoseAnswers: 0.5})
	require.True(t, f.OpenWeights(), "the burst is used up")
	began := time.Now()
	declareAll(f)
	f.Eventually("all routers wait for the weight store", func() error {
		if n := f.PlatformStats().WeightRefusals; n < refusals {
			return errors.Errorf("%d refusals of %d", n, refusals)
		}
		return nil
	})
	requireOneHolder(t, f)

	limited := time.Now()
	opens := f.PlatformStats().WeightOpens
	f.SetFaults(platform.Faults{WeightsPerSecond: weightRate})
	for n := range weightEngines {
		f.WaitModel(n, newer)
	}
	ordered := ordersInTime(f)
	for i, at := range ordered {
		agreed := 1 + weightRate*at.Sub(limited).Seconds()
		require.LessOrEqual(t, float64(i+1), agreed, "order %d of %v after the limit was set at %v", i+1, ordered, limited)
	}
	stats := f.PlatformStats()
	require.LessOrEqual(t, uint64(len(ordered)), stats.WeightOpens-opens)
	askers := uint64(len(f.Routers)) * (1 + uint64(time.Since(began)/leastPause))
	require.Less(t, stats.WeightRefusals, askers+weightEngines, "the weight store is asked too often")
}

func declareAll(f *fleettest.Fleet) {
	var list []*resource.Order
	for n := range weightEngines {
		list = append(list, f.OrderFor(n, newer))
	}
	f.Accept(0, fleettest.PutOrders("all", list...))
}

// requireOneHolder checks that each lease was granted at most once: the times are so
// long that none can have lapsed.
func requireOneHolder(t *testing.T, f *fleettest.Fleet) {
	t.Helper()
	held := 0
	for n := range weightEngines {
		lease, err := f.Lease(n)
		require.NoError(t, err)
		require.LessOrEqual(t, lease.Fence, uint64(1), fmt.Sprintf("engine %d: %+v", n, lease))
		held += int(lease.Fence)
	}
	require.NotZero(t, held)
}

// ordersInTime lists when the engines got their orders.
func ordersInTime(f *fleettest.Fleet) (times []time.Time) {
	for n := range weightEngines {
		for _, o := range f.OrderJournal(n).Orders {
			times = append(times, o.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
