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
	// roleEngine has all it needs loaded, and gets another role.
	roleEngine = weightEngines
	// weightRate is how often the weight store agrees a second, once at first.
	weightRate = 2.0
	// refusals are so many that each of three routers was refused several times.
	refusals = 12
	// leastPause is the shortest pause of a router that the weight store refused.
	leastPause = 375 * time.Millisecond
)

// A new model goes to one engine and then to all, while the weight store refuses
// everything and the table loses half its answers. An engine has one holder all that
// time, though others go for it. Then the weight store agrees twice a second. No engine
// is ordered to load without its consent, the store isn't hammered, and all get the
// model. An engine that only changes its role doesn't wait for any of this.
func TestWeightStoreLimitHoldsForTheFleet(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, plan(weightEngines+1, true, func(s *settings.Settings) {
		s.Timing.OrderPatience = settings.Duration(time.Millisecond)
	}))
	f.SetFaults(platform.Faults{WeightsPerSecond: 1e-6, TableLoseAnswers: 0.5})
	require.True(t, f.OpenWeights(), "the burst is used up")
	began := time.Now()
	f.Declare(0, 0, newer)
	waitGranted(f)
	f.WaitLooks(0, looked)
	requireOneHolder(t, f)
	declareAll(f)
	f.Eventually("all routers wait for the weight store", func() error {
		if n := f.PlatformStats().WeightRefusals; n < refusals {
			return errors.Errorf("%d refusals of %d", n, refusals)
		}
		return nil
	})
	requireOneHolder(t, f)
	requireRoleOrdered(t, f)

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

// waitGranted waits until a router has taken the first engine's lease.
func waitGranted(f *fleettest.Fleet) {
	f.Eventually("the lease is granted", func() error {
		lease, err := f.Lease(0)
		if err == nil && lease.Fence == 0 {
			err = errors.New("no grant yet")
		}
		return err
	})
}

func declareAll(f *fleettest.Fleet) {
	var list []*resource.Order
	for n := range weightEngines {
		list = append(list, f.OrderFor(n, newer))
	}
	f.Accept(0, fleettest.PutOrders("all", list...))
}

// requireRoleOrdered checks that an order that loads nothing is carried out although all
// routers wait for the weight store.
func requireRoleOrdered(t *testing.T, f *fleettest.Fleet) {
	t.Helper()
	order := f.OrderFor(roleEngine, "")
	order.Role = "decode"
	f.Accept(0, fleettest.PutOrders("role", order))
	f.WaitJournal(roleEngine, "the role is ordered", func(j fleettest.OrderJournal) bool {
		return len(j.Orders) > 0 && j.Orders[0].Role == order.Role
	})
}

// requireOneHolder checks that each lease was granted at most once, the times being so
// long that none can have lapsed, and that nothing was ordered to load.
func requireOneHolder(t *testing.T, f *fleettest.Fleet) {
	t.Helper()
	held := 0
	for n := range weightEngines {
		lease, err := f.Lease(n)
		require.NoError(t, err)
		require.LessOrEqual(t, lease.Fence, uint64(1), fmt.Sprintf("engine %d: %+v", n, lease))
		held += int(lease.Fence)
		require.Empty(t, f.OrderJournal(n).Orders, "an order without the weight store's consent")
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
