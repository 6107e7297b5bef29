package orders

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

// The holder of an engine's lease is paused while the weight store makes it wait, and
// its lease lapses. Another router carries a newer declaration out. The old holder wakes
// up with the weight store's consent, cut off from its peers and with the table out, so
// that nothing tells it of the newer declaration. It must find its lease lapsed and send nothing: the engine would obey.
func TestHolderPausedBeforeItsCheckSendsNothing(t *testing.T) {
	t.Parallel()
	f := fleettest.Start(t, plan(1, false, func(s *settings.Settings) {
		shortLeases(s)
		s.Platform.Timeout = settings.Duration(time.Minute) // the consent is waited for
	}))
	f.SetFaults(platform.Faults{HoldWeights: true})
	f.Declare(0, 0, older)
	holder, _ := f.Holder(0)
	f.Eventually("the holder asks the weight store", func() error {
		if f.PlatformStats().WeightsHeld == 0 {
			return errors.New("not asked yet")
		}
		return nil
	})
	version := replaceHolder(t, f, holder, func() { f.SetFaults(noFaults) })
	require.Empty(t, f.OrderJournal(0).Of(older))

	f.Isolate(holder)
	f.SetFaults(platform.Faults{TableDown: true})
	require.NoError(t, f.Routers[holder].Resume())
	f.Eventually("the old holder finds its lease lapsed", func() error {
		require.Empty(t, f.OrderJournal(0).Of(older), "an order was sent without a lease")
		if f.Logged(holder, "lease lapsed") == 0 {
			return errors.New("not yet")
		}
		return nil
	})
	f.SetFaults(noFaults)
	f.Rejoin(holder)
	f.WaitInForce(version, f.All())
	f.WaitLooks(0, looked)
	require.Empty(t, f.OrderJournal(0).Of(older), "an order was sent without a lease")
	f.WaitModel(0, newer)
}

// replaceHolder pauses the holder of engine 0's lease, declares the newer model at
// another router, and waits until the engine has it. release runs in between, when the
// others know of the newer declaration.
func replaceHolder(t *testing.T, f *fleettest.Fleet, holder int, release func()) uint64 {
	t.Helper()
	require.NoError(t, f.Routers[holder].Pause())
	others := f.But(holder)
	version := f.Declare(others[0], 0, newer)
	f.WaitInForce(version, others)
	release()
	f.WaitModel(0, newer)
	return version
}

// An order is held up in the network, behind the check of the lease, and its sender is
// paused. The lease lapses and another router carries a newer declaration out; then the
// old order arrives. An engine that checks the fencing number refuses it.
func TestStrayOrderIsRefusedByAnEngineThatChecks(t *testing.T) {
	t.Parallel()
	f, orders := stray(t, true)
	require.False(t, orders[len(orders)-1].Applied, "%+v", orders)
	require.Len(t, f.OrderJournal(0).Of(newer), 1)
	require.Empty(t, applied(f.OrderJournal(0).Of(older)))
}

// The same at an engine that ignores the number: it goes back to the older model, which
// nothing can prevent (docs/design/orders.md), and must be brought forward again.
func TestStrayOrderIsCorrectedAtAnEngineThatIgnoresTheFence(t *testing.T) {
	t.Parallel()
	f, orders := stray(t, false)
	require.True(t, orders[len(orders)-1].Applied, "%+v", orders)
	list := f.OrderJournal(0).Orders
	require.Equal(t, newer, list[len(list)-1].Model)
	require.Len(t, f.OrderJournal(0).Of(newer), 2, "one before the stray order and one after it")
}

func applied(list []engine.ReceivedOrder) (done []engine.ReceivedOrder) {
	for _, o := range list {
		if o.Applied {
			done = append(done, o)
		}
	}
	return done
}

// stray brings the story about, wakes the old holder up, and gives the orders that the
// engine got up to the stray one.
func stray(t *testing.T, checks bool) (f *fleettest.Fleet, upToStray []engine.ReceivedOrder) {
	f = fleettest.Start(t, plan(1, checks, shortLeases))
	f.SetEngineFaults(0, engine.Faults{HoldOrders: older})
	f.Declare(0, 0, older)
	f.WaitJournal(0, "the old order is held up", func(j fleettest.OrderJournal) bool { return j.Held > 0 })
	holder, fence := f.Holder(0)
	version := replaceHolder(t, f, holder, func() {})
	f.WaitLooks(0, looked)
	require.Empty(t, f.OrderJournal(0).Of(older))
	f.SetEngineFaults(0, noEngineFaults)
	f.WaitJournal(0, "the stray order arrives", func(j fleettest.OrderJournal) bool { return len(j.Of(older)) > 0 })
	for _, o := range f.OrderJournal(0).Orders {
		upToStray = append(upToStray, o)
		if o.Model == older {
			require.Equal(t, fence, o.Fence)
			break
		}
	}
	f.WaitModel(0, newer)
	require.NoError(t, f.Routers[holder].Resume())
	f.WaitInForce(version, f.All())
	f.WaitLooks(0, looked)
	f.WaitModel(0, newer)
	require.Len(t, f.OrderJournal(0).Of(older), 1)
	return f, upToStray
}
