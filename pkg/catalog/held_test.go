package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// The store is away so long that the entries of all upstreams lapse; they are alive, and
// write themselves in again within two seconds. Taken for gone, they would leave every
// request without an upstream until then. One that stays away is gone.
func TestInstancesThatExpiredInAnOutageAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}, {ID: "b"}}, rev: 5}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.down = true })
		time.Sleep(10 * time.Second)
		s.update(func() { s.down, s.compacted, s.instances, s.rev = false, 20, nil, 20 })
		time.Sleep(time.Second)
		require.NotNil(t, c.Instances().Get("a"))
		s.update(func() { s.changes, s.rev = []upstream.Change{{Instance: upstream.Instance{ID: "b"}}}, 21 })
		time.Sleep(2 * time.Second)
		require.Nil(t, c.Instances().Get("a"))
		require.NotNil(t, c.Instances().Get("b"))
	})
}

// afterInterruption gives a router that was away and then read a list without the first instance, and
// one that has known all the while that the list was current.
func afterInterruption(l log.Interface, all []upstream.Instance) (away, current *Catalog) {
	away, current = New(l), New(l)
	away.Replace(all, 1, time.Now(), "store")
	current.Replace(all, 1, time.Now(), "store")
	for began := time.Now(); time.Since(began) <= minOutage; {
		time.Sleep(time.Second)
		current.Confirm(1, time.Now())
	}
	away.Replace(all[1:], 5, time.Now(), "store")
	return away, current
}

// A router comes back after an outage and keeps, for the grace, instances that are missing
// from the store's list; one of them has left for good. Told to another router as the
// list at that revision, it would stay there for ever: no later change takes it away.
func TestListsForPeersOmitHeldInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		both := []upstream.Instance{{ID: "gone"}, {ID: "stays"}}
		a, b := afterInterruption(l, both)
		require.NotNil(t, a.Instances().Get("gone"), "it may have lapsed with the store")

		list, rev, _ := a.List()
		b.Replace(list.List(), rev, time.Now(), "peer")
		require.Nil(t, b.Instances().Get("gone"), "b has known that the store was there")
		keepContact(gracePeriod+time.Second, a, b)
		require.Nil(t, a.Instances().Get("gone"))
		require.Nil(t, b.Instances().Get("gone"))

		c := New(l)
		c.Replace(both, 1, time.Now(), "store")
		time.Sleep(minOutage + time.Second)
		c.Replace(both[1:], 5, time.Now(), "peer")
		require.NotNil(t, c.Instances().Get("gone"), "whoever tells c: it was without the store itself")
	})
}

// The same, with the removal told by the feed within the grace: a router that asks what is
// new since before must not be told that nothing is.
func TestHeldRemovalsChangeTheListForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		a := New(l)
		both := []upstream.Instance{{ID: "gone"}, {ID: "stays"}}
		a.Replace(both, 1, time.Now(), "store")
		time.Sleep(minOutage + time.Second)
		a.Replace(both, 5, time.Now(), "store")
		a.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "gone"}, Gone: true}}, 5, 6, time.Now(), "store")
		require.NotNil(t, a.Instances().Get("gone"))
		require.False(t, a.Same(5))
		list, rev, _ := a.List()
		require.EqualValues(t, 6, rev)
		require.Nil(t, list.Get("gone"))
	})
}

// Guards against followers that never hear of an instance which was held here and is back unchanged.
func TestReappearedInstancesChangeTheListForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		both := []upstream.Instance{{ID: "back"}, {ID: "stays"}}
		a, b := afterInterruption(l, both)
		told, rev, _ := a.List()
		b.Replace(told.List(), rev, time.Now(), "peer")
		require.Nil(t, b.Instances().Get("back"))
		a.Apply([]upstream.Change{{Instance: both[0]}}, 5, 6, time.Now(), "store")
		require.False(t, a.Same(5), "what was told at 5 lacks it")
		told, _, _ = a.List()
		require.NotNil(t, told.Get("back"))
	})
}
