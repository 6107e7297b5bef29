package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// A router waits for configurations itself while peers keep its list current, and the store fails
// its calls. Without a pause between them the router makes thousands.
func TestFailedCallsForConfigurationsPauseThoughTheListIsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rev: 1, config: &routing.Config{Version: 1}, storeCallers: 17, following: true, readsConfig: true,
			instances: []upstream.Instance{{ID: "i", Service: "s", State: upstream.Ready}}}
		c, _ := startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.configDown, s.failedCalls = true, 0 })
		for range 50 {
			c.Confirm(c.InstancesRevision(), time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		require.Less(t, s.countFailedCalls(), 50)
	})
}

// A router that starts in a large fleet leaves the store to others, and reads it itself if no peer
// sends the state in time.
func TestAStartingRouterWaitsForItsPeersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rev: 1, config: &routing.Config{Version: 1}, following: true, peerWait: time.Second,
			instances: []upstream.Instance{{ID: "i", Service: "s", State: upstream.Ready}}}
		c, _ := startWatcher(t, s)
		time.Sleep(900 * time.Millisecond)
		require.Zero(t, c.Version())
		time.Sleep(200 * time.Millisecond)
		require.True(t, c.Complete())
	})
}
