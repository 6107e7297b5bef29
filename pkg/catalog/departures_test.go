package catalog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// recoveryLimit is how long after the end of a disturbance a router's list must be current.
const recoveryLimit = 3 * time.Second

// readyInstances returns n ready instances of a service.
func readyInstances(service string, n int) []upstream.Instance {
	list := make([]upstream.Instance, n)
	for i := range list {
		list[i] = upstream.Instance{ID: upstream.ID(fmt.Sprint(service, i)), Service: service, State: upstream.Ready}
	}
	return list
}

func removal(in upstream.Instance) []upstream.Change {
	return []upstream.Change{{Instance: upstream.Instance{ID: in.ID}, Gone: true}}
}

// Guards against a departure that is held as an expired entry although only this router was cut off.
func TestDeparturesWhileCutOffAreNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := readyInstances("s", 10)
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: all, rev: 5, longPoll: true}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.down = true })
		time.Sleep(8 * time.Second)
		s.update(func() { s.down, s.instances, s.rev = false, all[1:], 9 })
		time.Sleep(500 * time.Millisecond)
		require.Nil(t, c.Instances().Get(all[0].ID), "the store was available: it lists nine of ten")
		require.Len(t, c.Instances().ByService("s"), 9)
	})
}

// Guards against a removal after the router reconnected that is held as an expired entry.
func TestRemovalsAfterReconnectingAreNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := readyInstances("s", 10)
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: all, rev: 5}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.down = true })
		time.Sleep(8 * time.Second)
		s.update(func() { s.down, s.rev = false, 9 })
		time.Sleep(400 * time.Millisecond)
		s.update(func() { s.changes, s.rev = removal(all[0]), 10 })
		time.Sleep(instancesPause + 200*time.Millisecond)
		require.Nil(t, c.Instances().Get(all[0].ID))
	})
}

// Guards against a grace period that ends with the next response of the store instead of on time.
func TestGracePeriodEndsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := readyInstances("s", 10)
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: all, rev: 5, longPoll: true, endWaitOnChange: true}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.down = true })
		time.Sleep(8 * time.Second)
		s.update(func() { s.down, s.instances, s.rev = false, nil, 9 })
		for c.InstancesRevision() < 9 {
			time.Sleep(10 * time.Millisecond)
		}
		require.Len(t, c.Instances().ByService("s"), 10, "all expired")
		// A response just before the end of the grace period starts a pause and then a request.
		time.Sleep(gracePeriod - instancesPause)
		s.update(func() { s.changes, s.rev = []upstream.Change{{Instance: all[0]}}, 10 })
		time.Sleep(instancesPause + 100*time.Millisecond)
		require.Len(t, c.Instances().ByService("s"), 1, "the others did not register again")
	})
}

// Guards against a departure that is noticed late because connections to the store went silent.
func TestDeparturesAreSeenInTimeOverSilentConnections(t *testing.T) {
	for after := time.Duration(0); after < 4*time.Second; after += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			all := readyInstances("s", 10)
			s := &fakeStore{config: &routing.Config{Version: 1}, instances: all, rev: 5, longPoll: true, endWaitOnChange: true}
			c, _ := startWatcher(t, s)
			time.Sleep(3*time.Second + after)
			leaving := append(readyInstances("s", 10)[1:], upstream.Instance{ID: all[0].ID, Service: "s", State: upstream.Draining})
			s.update(func() {
				s.connectionSilentSince = time.Now() // an open request gets no response, nor does the next on its connection
				s.instances, s.rev = leaving, 6
				s.changes = []upstream.Change{{Instance: leaving[9]}}
			})
			time.Sleep(recoveryLimit)
			require.Equal(t, upstream.Draining, c.Instances().Get(all[0].ID).State, "silent since %v", after)
		})
	}
}

// Guards against a grace period that continues although other routers were in contact with the store
// throughout.
func TestPeersInContactWithTheStoreEndTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, first := range map[string]bool{"contact before the list": true, "contact after the list": false} {
			l, _ := newTestLogger()
			c := New(l)
			all := readyInstances("s", 3)
			c.Replace(all, 1, time.Now(), "store")
			began := time.Now()
			time.Sleep(8 * time.Second)
			mergeContact := func() { c.MergeContact(Contact{Since: began.Add(-time.Minute), Until: time.Now()}) }
			if first {
				mergeContact()
			}
			c.Replace(all[2:], 9, time.Now(), "store")
			if !first {
				require.Len(t, c.Instances().ByService("s"), 3, "no router is known to have reached the store")
				mergeContact()
			}
			require.Len(t, c.Instances().ByService("s"), 1, name)
		}
	})
}

// Guards against instances that are removed because a peer was in contact with the store for a part
// of the time.
func TestPeersThatLostTheStoreDoNotEndTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		c := New(l)
		all := readyInstances("s", 3)
		c.Replace(all, 1, time.Now(), "store")
		began := time.Now()
		time.Sleep(8 * time.Second)
		c.MergeContact(Contact{Since: began.Add(-time.Minute), Until: began.Add(2 * time.Second)})
		back := time.Now().Add(-time.Second)
		c.MergeContact(Contact{Since: back, Until: time.Now()})
		c.Replace(all[2:], 9, time.Now(), "store")
		require.Len(t, c.Instances().ByService("s"), 3, "they may have expired")
		keepContact(time.Until(back.Add(gracePeriod)), c)
		require.Len(t, c.Instances().ByService("s"), 1, "the grace period began with the store's recovery")
	})
}

// Guards against an old list that passes for a current one because its response waited to be read.
func TestResponsesReadLateKeepTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: readyInstances("s", 3), rev: 5}
		c, _ := startWatcher(t, s)
		time.Sleep(3 * time.Second)
		for c.InstancesAge(time.Now()) > 0 {
			time.Sleep(time.Millisecond)
		}
		s.update(func() { s.processPause = 5 * time.Second })
		time.Sleep(instancesPause + 100*time.Millisecond + 5*time.Second + time.Millisecond)
		require.GreaterOrEqual(t, c.InstancesAge(time.Now()), 5*time.Second)
	})
}

// Guards against a grace period that ends while the store is unavailable again, before instances had
// time to register.
func TestASecondOutageDoesNotEndTheGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: readyInstances("s", 10), rev: 5}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.down = true })
		time.Sleep(8 * time.Second)
		s.update(func() { s.down, s.instances, s.rev = false, nil, 15 })
		for c.InstancesRevision() < 15 {
			time.Sleep(10 * time.Millisecond)
		}
		s.update(func() { s.down = true })
		time.Sleep(8 * time.Second)
		require.Len(t, c.Instances().ByService("s"), 10)
	})
}

// Guards against entries that expire just after the first list, which still contained all of them.
func TestInstancesThatExpireAfterAFullListAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLogger()
		c := New(l)
		all := readyInstances("s", 6)
		c.Replace(all, 1, time.Now(), "store")
		time.Sleep(2 * minOutage)
		c.Confirm(1, time.Now())
		for i, in := range all {
			c.Apply(removal(in), Revision(1+i), Revision(2+i), time.Now(), "store")
		}
		require.Len(t, c.Instances().ByService("s"), 4, "two removals may have been departures")
		keepContact(gracePeriod, c)
		require.Empty(t, c.Instances().ByService("s"))
	})
}
