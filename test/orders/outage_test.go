package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// The holder of a lease is killed before it ordered, and the table goes out at the same
// moment. Nobody may order, whoever looks at the engine and however it differs; the dead
// router comes back with no state and may not either. With the table back the order goes
// out under a higher fencing number, and so does the next declaration.
func TestHolderIsKilledAndTheTableGoesOut(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, plan(1, true, func(s *settings.Settings) {
		shortLeases(s)
		s.Timing.OrderTTL += settings.Duration(2 * time.Second) // no take-over before the outage
	}))
	f.SetFaults(platform.Faults{HoldWeights: true})
	f.Declare(0, 0, older)
	holder, fence := f.Holder(0)
	f.Kill(holder)
	f.SetFaults(platform.Faults{TableDown: true})
	f.WaitLooks(0, looked)
	require.NoError(t, f.Routers[holder].Start())
	f.OrderPastTheFleet(0, engine.Order{Fence: fence, ID: "past-the-fleet", Model: "stray"})
	f.WaitLooks(0, looked)
	require.Len(t, f.OrderJournal(0).Orders, 1, "an order without the table")

	f.SetFaults(noFaults)
	f.WaitModel(0, older)
	f.WaitInForce(f.Declare(holder, 0, newer), f.All())
	f.WaitModel(0, newer)
	orders := f.OrderJournal(0).Orders
	requireFencesGrow(t, orders)
	require.Empty(t, refused(orders))
}

func refused(list []engine.ReceivedOrder) (not []engine.ReceivedOrder) {
	for _, o := range list {
		if !o.Applied {
			not = append(not, o)
		}
	}
	return not
}
