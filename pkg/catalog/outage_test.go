package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
	"github.com/flamingowind/flamingowind/pkg/upstream"
)

// The store of a fleet of 63 routers is overloaded for eight seconds and rejects all calls. Each
// router's list becomes outdated. If each requested the list and the configuration five times a
// second, they would make over 5,000 calls in that time, 0.12 of a day's calls, and all are paid for.
func TestAnOverloadedStoreReceivesFewCalls(t *testing.T) {
	const routers, busyFor = 63, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rev: 1, config: &routing.Config{Version: 1}, following: true, storeCallers: routers,
			instances: []upstream.Instance{{ID: "i", Service: "s", State: upstream.Ready}}}
		var catalogs []*Catalog
		for range routers {
			c, _ := startWatcher(t, s)
			catalogs = append(catalogs, c)
		}
		time.Sleep(2 * time.Second)
		s.update(func() { s.down, s.failedCalls = true, 0 })
		time.Sleep(busyFor)
		require.Less(t, s.countFailedCalls(), 10*routers, "calls of all routers while the store was overloaded")
		s.update(func() {
			s.down, s.rev = false, 2
			s.changes = []upstream.Change{{Instance: upstream.Instance{ID: "i", Service: "s", State: upstream.Draining}}}
			s.instances = []upstream.Instance{{ID: "i", Service: "s", State: upstream.Draining}}
		})
		time.Sleep(3 * time.Second)
		for _, c := range catalogs {
			require.Equal(t, upstream.Draining, c.Instances().Get("i").State, "every router catches up soon")
		}
	})
}

// A router that reads for the others retries at the shortest pause: all of them learn of the store's
// recovery from it.
func TestReadersRetryAnOverloadedStoreOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rev: 1, config: &routing.Config{Version: 1}, storeCallers: 63}
		startWatcher(t, s)
		time.Sleep(time.Second)
		s.update(func() { s.down, s.failedCalls = true, 0 })
		time.Sleep(4 * time.Second)
		require.Greater(t, s.countFailedCalls(), 15)
	})
}
