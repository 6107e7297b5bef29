package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against overloading the few engines that have room for organisations over their share:
// those requests may run where at most a quarter of the slots are taken. One of three engines is
// like that in the last report, and fifty such requests arrive at all routers until the next one,
// while the engine has room for two.
func TestOverShareRequestsAreAdmittedInProportionToTheRoom(t *testing.T) {
	candidates := []Candidate{candidate("idle", Load{}, 0), candidate("busy", Load{Running: 7}, 0), candidate("full", Load{Running: 10}, 0)}
	sent := func(unseen float64) int {
		n := 0
		for i := range 1000 {
			req := requestFor(documentPrompt())
			req.Limits.OverShare, req.Limits.Occupancy = true, 0.25
			req.Unseen.OverShare, req.Random = unseen, float64(i)/1000
			v := Choose(req, candidates, usualSpeed)
			if v.OK {
				require.Equal(t, "idle", string(v.Choice.Candidate.Instance.ID))
				n++
			}
		}
		return n
	}
	require.Equal(t, 1000, sent(0), "no such requests at other routers")
	require.Equal(t, 1000, sent(1))
	require.InDelta(t, 1000*2.5/50, sent(49), 5, "two and a half slots for fifty requests")
}
