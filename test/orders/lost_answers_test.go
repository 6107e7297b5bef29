package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// tableDelayMs is twice the time between two looks: who looks one interval later than
// the first still reads the lease row before the first one's grant is written.
const tableDelayMs = 500

// Half of the table's writes take effect without an answer: grants and ends of leases,
// and operators' changes. It is slow besides: routers that go for a lease at the same
// moment, when somebody changes an engine past the fleet, have all read it before one has
// it. Two engines, of which one ignores fencing numbers, get each declaration in turn and
// never an order under a number that was used before.
func TestLeaseWritesLoseTheirAnswers(t *testing.T) {
	t.Parallel()
	p := plan(2, true, func(s *settings.Settings) {
		shortLeases(s)
		s.Timing.OrderPatience = settings.Duration(time.Millisecond)
		s.Platform.Timeout = settings.Duration(5 * time.Second) // the table is slow
	})
	p.EnginesPerProcess, p.Fenceless = 1, 1
	f := fleettest.Start(t, p)
	f.SetFaults(platform.Faults{TableLoseAnswers: 0.5, TableDelayMs: tableDelayMs})
	const rounds = 2
	for round := range rounds {
		model := fmt.Sprintf("tutor-%d", round)
		f.Accept(round, fleettest.PutOrders(model, f.OrderFor(0, model), f.OrderFor(1, model)))
		for n := range 2 {
			f.WaitModel(n, model)
			f.WaitLooks(n, looked)
			f.OrderPastTheFleet(n, engine.Order{Fence: highestFence(f, n), ID: pastTheFleet, Model: "stray"})
		}
		f.WaitModel(0, model)
		f.WaitModel(1, model)
	}
	require.NotZero(t, f.PlatformStats().LostAnswers)
	f.SetFaults(noFaults)
	for n := range 2 {
		orders := ofRouters(f.OrderJournal(n).Orders)
		requireFencesGrow(t, orders)
		requireModelsGrow(t, orders)
		require.Empty(t, refused(orders))
	}
}

const pastTheFleet = "past-the-fleet"

func ofRouters(orders []engine.ReceivedOrder) []engine.ReceivedOrder {
	return slices.DeleteFunc(orders, func(o engine.ReceivedOrder) bool { return o.ID == pastTheFleet })
}

// requireModelsGrow checks that no older declaration followed a newer one.
func requireModelsGrow(t *testing.T, orders []engine.ReceivedOrder) {
	t.Helper()
	for i, o := range orders[1:] {
		require.GreaterOrEqual(t, o.Model, orders[i].Model, "%+v", orders)
	}
}

// highestFence is the highest number that engine n has accepted.
func highestFence(f *fleettest.Fleet, n int) (highest uint64) {
	for _, o := range f.OrderJournal(n).Orders {
		highest = max(highest, o.Fence)
	}
	return highest
}
