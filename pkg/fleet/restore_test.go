package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// held returns the secret in the store.
func (r *fakeRegistry) held() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.secret
}

// hasFounded reports whether the router says that the fleet first started with it.
func (r *router) hasFounded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.founded
}

// Guards against a fleet that nobody finds any more, and a second one with another secret, once the store has come back
// from a copy without the secret and the list of routers.
func TestAFleetWritesAgainWhatTheStoreHasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := newFakeRegistry()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		old, j := newJoining(7, false, registry)
		j.seeds = nil
		go j.Run(ctx)
		time.Sleep(10 * time.Second)
		secret := old.fleet.Secret()
		require.True(t, old.hasFounded())
		registry.restore(nil)
		added, j := newJoining(8, false, registry)
		j.seeds = nil
		go j.Run(ctx)
		time.Sleep(2 * aloneInterval)
		require.Equal(t, secret, registry.held())
		require.True(t, registry.has("10.0.0.7:1"))
		time.Sleep(foundingDelay)
		require.Equal(t, secret, added.fleet.Secret())
		require.False(t, added.hasFounded())
		registry.restore([]byte("of a second fleet"))
		time.Sleep(2 * aloneInterval)
		require.EqualValues(t, "of a second fleet", old.fleet.Secret(), "both become one fleet again")
	})
}

// Guards against a router that waits for ever for a fleet which isn't there, and against one that knows of no streams and
// says that there were none.
func TestARestoredStoreWithoutAFleetIsFoundedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := newFakeRegistry()
		registry.restore(nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r, j := newJoining(7, false, registry)
		j.seeds = nil
		go j.Run(ctx)
		time.Sleep(foundingDelay - time.Second)
		require.Nil(t, r.fleet.Secret())
		time.Sleep(5 * time.Second)
		require.NotNil(t, r.fleet.Secret())
		require.False(t, r.hasFounded())
	})
}
