package slopes

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLineThroughPoints(t *testing.T) {
	r := newReport()
	for x := range 5 {
		r.add("exact", "x", "y", Point{float64(x), 3 + 2*float64(x)})
		r.add("flat", "x", "y", Point{1, float64(x)})
	}
	var table bytes.Buffer
	require.NoError(t, r.WriteTable(&table))
	require.InDelta(t, 13, r.Find("exact").At(5), 1e-9)
	require.InDelta(t, 1, r.Find("exact").R2, 1e-9)
	require.InDelta(t, 2, r.Find("flat").At(7), 1e-9, "points above one x have no slope")
	require.NoError(t, r.Write(t.TempDir()))
}

// Each experiment runs end to end in small and gives what its name says.
func TestSmallPlan(t *testing.T) {
	const short = 200 * time.Millisecond
	r, err := Run(t.Context(), Plan{
		Peers:         &Peers{Nodes: 5, Degrees: []int{2, 4}, Window: 2 * heartbeat},
		Cells:         &Cells{Orgs: []int{7}, Waiting: []int{100}, Kept: []int{1}, Cycles: 100},
		Path:          &Path{Rates: []float64{50}, Coalesce: []time.Duration{0}, Running: []int{4}, Orgs: []int{3}, Window: short, Warm: short},
		Members:       &Members{Fleets: []int{4}, Heartbeat: 20 * time.Millisecond, Window: short, JoinWithin: 10 * time.Second},
		Configuration: &Configuration{Shares: []float64{0.05}, Rounds: 1},
		Reads:         &Reads{Fleets: []int{20}, Length: 30 * time.Second},
	})
	require.NoError(t, err)
	require.Positive(t, r.Find("peers/heartbeat-bytes-sent").Points[1].Y)
	require.Positive(t, r.Find("member/frames").Points[0].Y)
	require.Zero(t, r.Find("path/own-cell/router-bytes-sent").Points[0].Y, "a claim to oneself crosses no wire")
	require.InDelta(t, 2, r.Find("config/head-reads").Points[0].Y, 0.2, "two pollers read for the whole fleet")
	require.Greater(t, r.Find("config/wire-sent").Points[0].Y, r.Find("config/encoded").Points[0].Y)
}
