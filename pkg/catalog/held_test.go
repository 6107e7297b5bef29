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

// The store is unavailable for so long that the entries of all upstreams expire; the upstreams are
// alive and register again within two seconds. If they were removed, every request would lack an
// upstream until then. One that does not register again is removed.
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

// afterInterruption returns a router that was cut off and then read a list without the first
// instance, and one that knew throughout that its list was current.
func afterInterruption(l log.Interface, all []upstream.Instance) (disconnected, current *Catalog) {
	disconnected, current = New(l), New(l)
	disconnected.Replace(all, 1, time.Now(), "store")
	current.Replace(all, 1, time.Now(), "store")
	for began := time.Now(); time.Since(began) <= minOutage; {
		time.Sleep(time.Second)
		current.Confirm(1, time.Now())
	}
	disconnected.Replace(all[1:], 5, time.Now(), "store")
	return disconnected, current
}

// After an outage a router holds, for the grace period, instances that are missing from the store's
// list; one of them has left for good. If another router received it as part of the list at that
// revision, it would keep it forever, since no later change removes it.
func TestListsForPeersOmitHeldInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		both := []upstream.Instance{{ID: "gone"}, {ID: "stays"}}
		a, b := afterInterruption(l, both)
		require.NotNil(t, a.Instances().Get("gone"), "it may have expired in an outage")

		list, rev, _ := a.List()
		b.Replace(list.List(), rev, time.Now(), "peer")
		require.Nil(t, b.Instances().Get("gone"), "b knows that the store was available")
		keepContact(gracePeriod+time.Second, a, b)
		require.Nil(t, a.Instances().Get("gone"))
		require.Nil(t, b.Instances().Get("gone"))

		c := New(l)
		c.Replace(both, 1, time.Now(), "store")
		time.Sleep(minOutage + time.Second)
		c.Replace(both[1:], 5, time.Now(), "peer")
		require.NotNil(t, c.Instances().Get("gone"), "whichever peer sent the list: c itself lost the store")
	})
}

// The removal arrives as a change within the grace period: a router that asks for changes since an
// earlier revision must not receive the response that there are none.
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
		require.False(t, a.UnchangedSince(5))
		list, rev, _ := a.List()
		require.EqualValues(t, 6, rev)
		require.Nil(t, list.Get("gone"))
	})
}

// Guards against followers that never receive an instance that was held here and reappeared
// unchanged.
func TestReappearedInstancesChangeTheListForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		both := []upstream.Instance{{ID: "back"}, {ID: "stays"}}
		a, b := afterInterruption(l, both)
		listed, rev, _ := a.List()
		b.Replace(listed.List(), rev, time.Now(), "peer")
		require.Nil(t, b.Instances().Get("back"))
		a.Apply([]upstream.Change{{Instance: both[0]}}, 5, 6, time.Now(), "store")
		require.False(t, a.UnchangedSince(5), "the list sent at revision 5 lacks it")
		listed, _, _ = a.List()
		require.NotNil(t, listed.Get("back"))
	})
}
