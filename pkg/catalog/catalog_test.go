package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// The store is unavailable for a minute. The last copy stays in use, and changes made meanwhile
// are known soon after the store recovers.
func TestCatalogStaysInUseDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}}, rev: 5}
		c, h := startWatcher(t, s)
		time.Sleep(time.Second)
		require.True(t, c.Complete())
		s.update(func() { s.down = true })
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, c.Version())
		require.NotNil(t, c.Instances().Get("a"))
		require.Greater(t, c.InstancesAge(time.Now()), 50*time.Second)
		require.Equal(t, 2, h.count("dependency_lost"), "each watch logs it once")
		s.update(func() { s.down, s.config, s.rev = false, &routing.Config{Version: 4}, 9 })
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 4, c.Version())
		require.Equal(t, 2, h.count("dependency_regained"))
	})
}

// The store stops responding for some seconds and never responds to calls from that time. The
// request for a newer configuration stays open for long: if it ended only by its own timeout, a
// removed key would stay valid for half a minute.
func TestConfigRequestIsRenewedAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}}, rev: 5}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.unresponsive = true })
		time.Sleep(3 * time.Second)
		s.update(func() { s.unresponsive, s.config, s.rev = false, &routing.Config{Version: 2}, 6 })
		time.Sleep(4 * time.Second)
		require.EqualValues(t, 2, c.Version())
	})
}

// The store has compacted its history, and an instance left in the compacted part: only reading
// the whole list shows that.
func TestWholeListIsReadWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}, {ID: "b"}}, rev: 5}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.compacted, s.instances, s.rev = 8, []upstream.Instance{{ID: "b"}}, 8 })
		time.Sleep(1500 * time.Millisecond)
		require.Nil(t, c.Instances().Get("a"))
		require.NotNil(t, c.Instances().Get("b"))
	})
}

// If every router read the instance list, the cost of calls would grow with the fleet. A router
// whose peers keep its list current sends no requests; when they stop, or none of them reaches the
// store, it reads the store within a second and a half.
func TestFollowersDoNotReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}}, rev: 5, following: true}
		c, _ := startWatcher(t, s)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			rev := c.InstancesRevision() + 1
			require.True(t, c.UnchangedSince(rev-1))
			c.Confirm(rev, time.Now())
		}
		s.mu.Lock()
		require.LessOrEqual(t, s.listRequests, 1)
		require.LessOrEqual(t, s.configRequests, 1)
		s.config, s.rev, s.changes = &routing.Config{Version: 2}, 100, []upstream.Change{{Instance: upstream.Instance{ID: "a"}, Gone: true}}
		s.mu.Unlock()
		time.Sleep(followerMaxAge + 500*time.Millisecond)
		require.Nil(t, c.Instances().Get("a"))
		require.EqualValues(t, 2, c.Version(), "peers no longer announce it")
		require.False(t, c.UnchangedSince(25), "the list has changed since")
	})
}

// The list does not change for minutes. If a router that reads for many others waited for a change
// all that time, its followers would consider their list outdated and all read the store.
func TestReadersForManyConfirmTheListOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, instances: []upstream.Instance{{ID: "a"}}, rev: 5, manyFollowers: true, longPoll: true}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			require.Less(t, c.InstancesAge(time.Now()), followerMaxAge-400*time.Millisecond)
		}
	})
}

// A late response of the store arrives after a peer has sent a newer version.
func TestCatalogNeverGoesBack(t *testing.T) {
	l, _ := newTestLogger()
	c := New(l)
	c.Adopt(&routing.Config{Version: 7}, "peer")
	c.Adopt(&routing.Config{Version: 6}, "store")
	require.EqualValues(t, 7, c.Version())
	c.Replace([]upstream.Instance{{ID: "new"}}, 9, time.Now(), "peer")
	c.Replace([]upstream.Instance{{ID: "old"}}, 8, time.Now(), "store")
	c.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "new"}, Gone: true}}, 3, 7, time.Now(), "store")
	c.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "new"}, Gone: true}}, 11, 12, time.Now(), "store")
	require.NotNil(t, c.Instances().Get("new"))
	c.Apply([]upstream.Change{{Instance: upstream.Instance{ID: "new"}, Gone: true}}, 9, 10, time.Now(), "store")
	require.Nil(t, c.Instances().Get("new"))
}
