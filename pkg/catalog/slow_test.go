package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/routing"
)

// Guards against routers that never become ready beside a store whose answers take longer than a call may at first.
func TestASlowStoreIsWaitedForAtTheStart(t *testing.T) {
	for _, slow := range []time.Duration{1100 * time.Millisecond, 1600 * time.Millisecond, 3 * time.Second, 4800 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{config: &routing.Config{Version: 1}, rev: 5, answersAfter: slow}
			c, _ := startWatcher(t, s)
			time.Sleep(4 * slow)
			require.True(t, c.Complete(), "answers take %v", slow)
		})
	}
}

// Guards against a router that waits long for a store that fell silent, as it was slow when the router started.
func TestASlowStartDoesntDelayTheRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{config: &routing.Config{Version: 1}, rev: 5, answersAfter: 4 * time.Second}
		c, _ := startWatcher(t, s)
		time.Sleep(20 * time.Second)
		require.True(t, c.Complete())
		s.update(func() { s.answersAfter, s.unresponsive = time.Hour, true })
		time.Sleep(20 * time.Second)
		s.update(func() { s.answersAfter, s.unresponsive, s.config, s.rev = 0, false, &routing.Config{Version: 2}, 6 })
		time.Sleep(listTimeout + readTimeout + time.Second)
		require.EqualValues(t, 2, c.Version())
	})
}
