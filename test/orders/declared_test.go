package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/resource"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
)

// An operator declares what an engine has loaded and which role it has. The engine comes
// to say just that. The same declaration sent again orders nothing; somebody who changes
// the engine past the fleet finds it changed back; a declaration of the role alone
// leaves what is loaded as it is.
func TestDeclaredOrderIsCarriedOutAndKept(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, plan(1, true, func(s *settings.Settings) {
		s.Timing.OrderLongest = settings.Duration(time.Second) // ordered again after this, if at all
	}))
	order := f.OrderFor(0, newer)
	order.Adapter, order.Revision, order.Role = "maths", "r7", "prefill"
	f.Accept(0, fleettest.PutOrders("first", order))
	f.WaitModel(0, newer)
	requireState(t, f, order)
	f.WaitLooks(0, 2*looked)
	require.Len(t, f.OrderJournal(0).Orders, 1)

	again := f.Accept(1, fleettest.PutOrders("again", order))
	f.WaitInForce(again.Version, f.All())
	f.WaitLooks(0, 2*looked)
	require.Len(t, f.OrderJournal(0).Orders, 1, "the second declaration changed nothing")

	f.OrderPastTheFleet(0, engine.Order{Fence: 7, ID: "past-the-fleet", Model: older})
	f.WaitModel(0, newer)
	requireState(t, f, order)

	f.Accept(2, fleettest.PutOrders("role", &resource.Order{Meta: order.Meta, Upstream: order.Upstream, Role: "decode"}))
	f.WaitJournal(0, "the role is ordered", func(j fleettest.OrderJournal) bool { return len(j.Orders) == 4 })
	order.Role = "decode"
	requireState(t, f, order)
	f.WaitLooks(0, looked)
	orders := f.OrderJournal(0).Orders
	require.Len(t, orders, 4, "%+v", orders)
	requireFencesGrow(t, orders)
}

func requireState(t *testing.T, f *fleettest.Fleet, o *resource.Order) {
	t.Helper()
	s, err := f.EngineState(0)
	require.NoError(t, err)
	require.Equal(t, []string{o.Model, o.Adapter, o.Revision, o.Role}, []string{s.Model, s.Adapter, s.Revision, s.Role})
}
