package gatewayd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that goes on by an older configuration, and sends requests to upstreams that
// have left, for as long as callers fill its link.
func TestConfigurationsComeThroughAFullLink(t *testing.T) {
	for _, c := range []struct {
		name    string
		routers int
		// queue is how long what comes to the router waits, bound how late it may have a configuration.
		queue, bound time.Duration
	}{
		{"small fleet", 6, 500 * time.Millisecond, 2 * time.Second},
		{"fleet with hubs", 18, 1200 * time.Millisecond, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetModel(c.routers)
				defer f.close()
				f.publishConfig(49)
				f.advance(5 * time.Second)
				f.requireAdopted(t, c.bound, "free link")
				f.weakest().host.Crowd(c.queue)
				f.advance(5 * time.Second)
				f.publishConfig(1)
				f.requireAdopted(t, c.bound, "one route")
				f.publishConfig(1350)
				f.requireAdopted(t, c.bound, "many routes")
				for range 5 {
					f.advance(700 * time.Millisecond)
					f.publishConfig(1)
				}
				f.requireAdopted(t, c.bound, "changes in a series")
				f.removeUpstream(3)
				f.requireRemoved(t, c.bound)
			})
		})
	}
}

// Guards against routers that go by an older configuration, as the store's answers to all but one of them were lost.
func TestAnyRouterPassesOnAConfigurationFromTheStore(t *testing.T) {
	for _, routers := range []int{6, 18} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetModel(routers)
			defer f.close()
			f.publishConfig(49)
			f.advance(5 * time.Second)
			next := *f.config
			next.Version++
			f.weakest().catalog.Adopt(&next, "store")
			f.advance(2 * time.Second)
			for _, r := range f.routers {
				require.Equal(t, next.Version, r.catalog.Version(), r.fleet.Self().Name)
			}
		})
	}
}
