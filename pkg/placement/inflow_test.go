package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is the time at which the test begins.
var start = time.Unix(1000, 0)

func TestInflowsDecay(t *testing.T) {
	f := NewInflows()
	f.Assign("llm", 100*time.Millisecond, start)
	f.CountOverShare("llm", start)
	own := f.Own(start)["llm"]
	require.InDelta(t, 100*time.Millisecond, own.Rate, float64(time.Millisecond))
	require.InDelta(t, 1, own.OverShare, 0.01)
	own = f.Own(start.Add(10 * time.Second))["llm"]
	require.Less(t, own.Rate, time.Millisecond)
	require.Less(t, own.OverShare, 0.01)
}

// The unseen work follows from the age of the reports: those that came over a hub were 100 ms old
// when they arrived.
func TestUnseenWorkFollowsFromTheAgeOfReports(t *testing.T) {
	f := NewInflows()
	require.Zero(t, f.Unseen("llm", start), "nothing was reported")
	f.SetOthers(map[string]Inflow{"llm": {Rate: 30 * time.Second, Unseen: 3 * time.Second, OverShare: 200}}, start)
	unseen := f.Unseen("llm", start.Add(50*time.Millisecond))
	require.InDelta(t, 4500*time.Millisecond, unseen.Assigned, float64(time.Millisecond))
	require.InDelta(t, 30, unseen.OverShare, 0.01)
	unseen = f.Unseen("llm", start.Add(time.Hour))
	require.Equal(t, 30*time.Second, unseen.Assigned, "the age is bounded for a router that is cut off")
	require.Zero(t, f.Unseen("other", start))
}
