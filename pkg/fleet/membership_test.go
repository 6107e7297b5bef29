package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Delayed reports of a router's former life must neither make others miss it for good after a
// quick restart, nor keep it alive after it died.
func TestMembershipFollowsTheNewestLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &router{fleet: New(Member{Name: "a", Peers: "a"}, nil, discardLog)}
		r.fleet.local = r
		listed := func() bool { return len(r.fleet.Membership(time.Now()).Peers) == 2 }
		report := func(life int64) {
			r.fleet.handleReport(&Report{From: Member{Name: "b", Peers: "b", Started: life}}, time.Now())
		}
		report(1)
		report(2)
		for range 10 {
			time.Sleep(aliveTimeout / 12)
			report(1)
			require.True(t, listed())
		}
		time.Sleep(aliveTimeout / 6)
		require.False(t, listed(), "delayed reports of the former life keep no router alive")
		report(2)
		time.Sleep(snapshotMaxAge)
		require.True(t, listed())
		time.Sleep(aliveTimeout)
		require.False(t, listed())
	})
}
