package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Members of a large fleet must not wake up between two exchanges with their hub, the only router
// that they ask.
func TestAMemberSleepsUntilItsHubIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestFleet(60)
		c.run(2 * time.Second)
		now := time.Now()
		for _, r := range c.routers {
			f := r.fleet
			f.NoteRequest(now)
			if f.role.hub {
				require.Equal(t, checkInterval, f.nextCheckDelay(now))
				continue
			}
			hub := f.peers[f.role.ownHub]
			hub.failures, hub.askedAt = 0, now.Add(-10*time.Millisecond)
			require.Equal(t, f.interval(hub, now)-10*time.Millisecond, f.nextCheckDelay(now))
			hub.askedAt = now.Add(-time.Second)
			require.Equal(t, checkInterval, f.nextCheckDelay(now), "the hub's answer is late")
			hub.failures = 1
			require.Equal(t, checkInterval, f.nextCheckDelay(now), "another hub may have to be asked")
		}
	})
}

// Routers with few requests must exchange less often than busy ones, as exchanges are most of the
// work in a large fleet.
func TestAMemberExchangesSeldomWhileNoRequestsCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exchanges := make(map[bool]int)
		for _, busy := range []bool{false, true} {
			c := newBusyFleet(60, 20, 8)
			c.requests = busy
			c.run(2 * time.Second)
			clear(c.exchanges)
			c.run(4 * time.Second)
			for addr, r := range c.routers {
				if !r.fleet.role.hub {
					exchanges[busy] += c.exchanges[addr]
				}
			}
		}
		require.Less(t, 2*exchanges[false], exchanges[true])
		require.Positive(t, exchanges[false])
	})
}
