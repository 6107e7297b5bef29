package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that others miss for good after it restarted at once, or keep after it
// died, as late reports of its former life reach them.
func TestTheRosterGoesByTheNewestLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &router{fleet: New(Member{Name: "a", Peers: "a"}, nil, quiet)}
		r.fleet.local = r
		listed := func() bool { return len(r.fleet.Roster(time.Now()).Peers) == 2 }
		report := func(life int64) {
			r.fleet.incoming(&Report{From: Member{Name: "b", Peers: "b", Started: life}}, time.Now())
		}
		report(1)
		report(2)
		for range 10 {
			time.Sleep(aliveFor / 12)
			report(1)
			require.True(t, listed())
		}
		time.Sleep(aliveFor / 6)
		require.False(t, listed(), "late reports of the former life keep nobody")
		report(2)
		time.Sleep(censusEvery)
		require.True(t, listed())
		time.Sleep(aliveFor)
		require.False(t, listed())
	})
}
