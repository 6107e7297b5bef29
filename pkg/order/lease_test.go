package order

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/platform"
	"github.com/flamingowind/flamingowind/pkg/platform/platformtest"
)

var request = Request{Upstream: "e1", Declared: 1}

// Two routers both believe that they are first for an engine, as after a change of
// members. Exactly one may hold the lease.
func TestTwoRoutersOneLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := new(platformtest.Table)
		table.SetDelay(5 * time.Millisecond)
		var wg sync.WaitGroup
		held := make([]*Lease, 4)
		for i := range held {
			wg.Go(func() { held[i], _ = NewLeases(table, Options{}).Grant(t.Context(), request) })
		}
		wg.Wait()
		granted := 0
		for _, l := range held {
			if l != nil {
				granted++
			}
		}
		require.Equal(t, 1, granted)
	})
}

// The answer of the grant is lost. Taken as refused, nobody would order the engine
// until the lease lapses; taken as granted though it wasn't, two routers would.
func TestLostAnswersOfTheGrant(t *testing.T) {
	for fault, want := range map[platformtest.Fault]bool{
		platformtest.FaultUnheard: true, platformtest.FaultLost: false,
		platformtest.FaultLate: false, platformtest.FaultRefuse: false,
	} {
		synctest.Test(t, func(t *testing.T) {
			table := new(platformtest.Table)
			table.SetFault(func(platform.Txn) platformtest.Fault { return fault })
			lease, err := NewLeases(table, Options{}).Grant(t.Context(), request)
			require.Equal(t, want, err == nil)
			table.SetFault(nil)
			table.DeliverLate()
			next, err := NewLeases(table, Options{}).Grant(t.Context(), request)
			if want || fault == platformtest.FaultLate {
				require.ErrorIs(t, err, ErrHeld)
				return
			}
			require.NoError(t, err)
			require.Nil(t, lease)
			require.EqualValues(t, 1, next.Fence)
		})
	}
}

// The table is slow, so the grant's answer comes late. The holder's time must run from
// before the grant, or it goes on ordering after a successor stopped waiting.
func TestHolderStopsBeforeSuccessorStarts(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			table := new(platformtest.Table)
			table.SetDelay(900 * time.Millisecond)
			r := request
			r.ChecksFence = checks
			holder, successor := NewLeases(table, Options{}), NewLeases(table, Options{})
			lease, err := holder.Grant(t.Context(), r)
			require.NoError(t, err)
			require.LessOrEqual(t, lease.Remaining(), DefaultTTL-DefaultMargin-1800*time.Millisecond)
			<-time.After(lease.Remaining() / 2)
			require.NoError(t, holder.Renew(t.Context(), lease))
			var next *Lease
			var lapsed time.Time
			for next == nil {
				next, err = successor.Grant(t.Context(), r)
				if err != nil {
					require.ErrorIs(t, err, ErrHeld)
				}
				if !lease.Valid() && lapsed.IsZero() {
					lapsed = time.Now()
				}
				<-time.After(100 * time.Millisecond)
			}
			require.False(t, lease.Valid())
			require.Greater(t, next.Fence, lease.Fence)
			if !checks {
				require.Greater(t, time.Since(lapsed), DefaultLongestOrder)
			}
			require.ErrorIs(t, holder.Renew(t.Context(), lease), ErrLapsed)
		})
	}
}

// A renewal is late on its way; the holder reads for the next one and is paused; the
// late one lands; the next is lost. The row has changed, but long before the pause
// ended, and a successor counts from then: so must the holder.
func TestRenewalIsCountedFromBeforeItsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &pausingTable{Table: new(platformtest.Table), pause: func() {}}
		faults := table.Table.(*platformtest.Table)
		holder := NewLeases(table, Options{})
		lease, err := holder.Grant(t.Context(), request)
		require.NoError(t, err)
		faults.SetFault(func(platform.Txn) platformtest.Fault { return platformtest.FaultLate })
		require.Error(t, holder.Renew(t.Context(), lease))
		faults.SetFault(func(platform.Txn) platformtest.Fault { return platformtest.FaultLost })
		landed := time.Now()
		table.pause = func() {
			table.pause = func() {}
			faults.DeliverLate()
			<-time.After(10 * time.Second)
		}
		require.NoError(t, holder.Renew(t.Context(), lease))
		require.LessOrEqual(t, lease.Remaining(), time.Until(landed.Add(DefaultTTL-DefaultMargin)))
	})
}

// Operators set the table back to a backup. The engine has seen higher numbers than the
// table knows and would refuse every order from then on.
func TestFenceIsAboveTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := request
		r.EngineFence = 41
		lease, err := NewLeases(new(platformtest.Table), Options{}).Grant(t.Context(), r)
		require.NoError(t, err)
		require.EqualValues(t, 42, lease.Fence)
	})
}
