package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// Half of the table's writes take effect without an answer: grants and ends of leases,
// and operators' changes. It is slow besides, so that routers that go for a lease at the
// same moment have all read it before one of them has it. Engines
// of which one checks and one ignores the fencing number get each declaration in turn,
// and never an order under a number that was used before.
func TestLeaseWritesLoseTheirAnswers(t *testing.T) {
	t.Parallel()
	p := plan(2, true, func(s *settings.Settings) {
		shortLeases(s)
		s.Timing.OrderPatience = settings.Duration(time.Millisecond)
	})
	p.EnginesPerProcess, p.Fenceless = 1, 1
	f := fleettest.Start(t, p)
	f.SetFaults(platform.Faults{TableLoseAnswers: 0.5, TableDelayMs: 200})
	const rounds = 3
	for round := range rounds {
		model := fmt.Sprintf("tutor-%d", round)
		f.Accept(round, fleettest.PutOrders(model, f.OrderFor(0, model), f.OrderFor(1, model)))
		f.WaitModel(0, model)
		f.WaitModel(1, model)
	}
	require.NotZero(t, f.PlatformStats().LostAnswers)
	f.SetFaults(noFaults)
	for n := range 2 {
		orders := f.OrderJournal(n).Orders
		requireFencesGrow(t, orders)
		requireModelsGrow(t, orders)
		require.Empty(t, refused(orders))
	}
}

// requireModelsGrow checks that no older declaration followed a newer one.
func requireModelsGrow(t *testing.T, orders []engine.ReceivedOrder) {
	t.Helper()
	for i, o := range orders[1:] {
		require.GreaterOrEqual(t, o.Model, orders[i].Model, "%+v", orders)
	}
}
