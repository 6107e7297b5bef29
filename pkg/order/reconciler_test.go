package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// An engine is ordered once, and then costs the table nothing while it is as declared.
func TestOrdersOnceThenCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(true)
		f.router(t, 0, 1, "m1")
		<-time.After(time.Minute)
		require.Equal(t, 1, f.engine.orders())
		commits, reads := f.table.Counts()
		require.Equal(t, 2, commits, "grant and revoke")
		<-time.After(time.Hour)
		after, readsAfter := f.table.Counts()
		require.Equal(t, []int{commits, reads}, []int{after, readsAfter})
		require.Equal(t, 1, f.engine.orders())
	})
}

// The holder is paused while it connects, for longer than its lease. It must find the
// lease lapsed and send nothing, whether or not the engine would have checked.
func TestPausedHolderSendsNothing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(checks)
			f.engine.beforeOK = func(Command) { <-time.After(DefaultTTL) }
			f.router(t, 0, 1, "m1")
			<-time.After(DefaultTTL + time.Minute)
			require.Zero(t, f.engine.orders())
		})
	}
}

// The holder is paused between its check and the wire, for minutes. A successor orders
// a newer model; then the old order arrives. An engine that checks refuses it; one that
// doesn't follows it and must be brought back by the next look.
func TestStrayOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(checks)
			hold := make(chan struct{})
			f.engine.afterOK = func(c Command) error {
				if c.Model == "old" {
					<-hold
				}
				return nil
			}
			f.router(t, 0, 1, "old")
			synctest.Wait()
			f.router(t, 0, 2, "new")
			<-time.After(4*time.Minute + time.Second) // between two looks
			require.Equal(t, "new", f.engine.model())
			close(hold)
			synctest.Wait()
			if checks {
				require.Equal(t, "new", f.engine.model())
				return
			}
			require.Equal(t, "old", f.engine.model(), "what remains possible")
			<-time.After(2 * DefaultLongestOrder)
			require.Equal(t, "new", f.engine.model())
		})
	}
}

// An order gets no answer: the engine may still follow it. The lease must not be given
// back, or a successor's newer order is overtaken by it.
func TestUnansweredOrderKeepsSuccessorOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(false)
		f.engine.afterOK = func(c Command) error {
			if c.Model == "new" {
				return nil
			}
			time.AfterFunc(DefaultLongestOrder-time.Second, func() { _ = f.engine.follow(c) })
			return errors.New("no answer")
		}
		stop := f.router(t, 0, 1, "old")
		synctest.Wait()
		stop()
		f.router(t, 1, 2, "new")
		<-time.After(4 * time.Minute)
		require.Equal(t, "new", f.engine.model())
		require.Equal(t, "new", f.engine.sent[len(f.engine.sent)-1].Model)
		require.Len(t, f.engine.sent, 2, "the old order came first")
	})
}

// An engine answers an order at once and loads for most of a minute. Ordered again
// meanwhile, it would begin anew each time and never come to serve.
func TestLoadingEngineIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(true)
		f.engine.loading = DefaultLongestOrder - time.Second
		f.router(t, 0, 1, "m1")
		<-time.After(10 * time.Minute)
		require.Equal(t, 1, f.engine.orders())
		require.Equal(t, "m1", f.engine.model())
	})
}

// A router that was cut off still holds an old configuration and finds the engine
// different from it. It must not order it back, or two routers go on in turns.
func TestOldConfigurationDoesNotOrderBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(true)
		f.router(t, 0, 2, "new")
		<-time.After(time.Minute)
		f.router(t, 0, 1, "old")
		<-time.After(time.Hour)
		require.Equal(t, 1, f.engine.orders())
		require.Equal(t, "new", f.engine.model())
	})
}

// The holder dies between its grant and its order. The next in rank takes over once
// the lease is out.
func TestNextInRankTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(false)
		_, err := NewLeases(f.table, Options{}).Grant(t.Context(), request)
		require.NoError(t, err)
		f.router(t, 1, 1, "m1")
		<-time.After(DefaultPatience + DefaultTTL + DefaultMargin)
		require.Zero(t, f.engine.orders())
		<-time.After(DefaultLongestOrder + 2*retryMax)
		require.Equal(t, "m1", f.engine.model())
	})
}

// All routers see the difference at the same moment. If each went for the lease, a
// change of many engines would cost the table a write for each router and engine.
func TestLaterRanksWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(true)
		f.router(t, 1, 1, "m1")
		<-time.After(DefaultPatience - time.Second)
		commits, _ := f.table.Counts()
		require.Zero(t, commits)
		<-time.After(DefaultInterval)
		require.Equal(t, "m1", f.engine.model())
	})
}

// A new model goes to all engines at once; the weight store lets one load a minute.
// Every engine gets it in the end, and the store isn't hammered meanwhile.
func TestWeightStoreLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := &fakeWeights{every: time.Minute}
		engines := make([]*fleet, 8)
		for i := range engines {
			engines[i] = newFleet(i%2 == 0)
			engines[i].weights = weights
			engines[i].router(t, 0, 1, "m1")
		}
		<-time.After(30 * time.Minute)
		for _, f := range engines {
			require.Equal(t, "m1", f.engine.model())
			commits, _ := f.table.Counts()
			require.Less(t, commits, 30*60/5, "fewer than one write in five seconds")
		}
		require.Less(t, weights.asked, 30*60/2)
	})
}

// An outage of the table: no lease, no order; the order goes out once it is over.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(true)
		f.table.SetDown(true)
		f.router(t, 0, 1, "m1")
		<-time.After(time.Hour)
		require.Zero(t, f.engine.orders())
		f.table.SetDown(false)
		<-time.After(2 * retryMax)
		require.Equal(t, "m1", f.engine.model())
	})
}

// The configuration changes while a router waits for the weight store. What it then
// sends must be declared still: loading the wrong model takes minutes of an engine.
func TestSupersededOrderIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(true)
		f.weights.every = time.Minute
		require.NoError(t, f.weights.Open(t.Context(), ""))
		r := NewReconciler(f.table, f.weights, f.engine, fixedRank(0), declared(1, "m1", true), Options{})
		target := r.targets()[0]
		r.snapshot = declared(2, "m2", true)
		done := r.reconcile(t.Context(), target)
		require.False(t, done.maySent)
		require.ErrorIs(t, done.err, ErrStale)
		require.Zero(t, f.engine.orders())
	})
}

// The weight store refuses for minutes. A holder that lets its lease run out between
// two questions loses its turn, and a successor has to wait for the lease to lapse.
func TestWaitForTheWeightStoreKeepsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines = 200 // the pauses are drawn at random
		fleets := make([]*fleet, engines)
		for i := range fleets {
			fleets[i] = newFleet(false)
			fleets[i].weights = &fakeWeights{next: time.Now().Add(time.Hour), takes: DefaultTimeout - time.Millisecond}
			fleets[i].router(t, 0, 1, "m1")
		}
		<-time.After(DefaultWeightsPatience - time.Second)
		for _, f := range fleets {
			row, err := f.table.Get(t.Context(), leaseKey("e1"))
			require.NoError(t, err)
			lease, err := decodeLease(row)
			require.NoError(t, err)
			require.EqualValues(t, 1, lease.Fence)
			require.NotEmpty(t, lease.Holder, "the lease was lost or given back")
		}
	})
}
