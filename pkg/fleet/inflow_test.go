package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Inflows are reported through hubs and age in transit. A router that took them for current would
// assume that no other router has chosen the idle engine meanwhile.
func TestInflowsGrowOldOnTheirWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		c := newTestFleet(n)
		c.run(4 * time.Second)
		maxAge := (memberInterval + hubInterval + memberInterval + 3*exchangeInterval).Seconds()
		for _, r := range c.alive() {
			inflow := r.inflows["llm"]
			require.InDelta(t, 2*(n-1), inflow.Rate, 1e-6)
			require.LessOrEqual(t, inflow.Unseen, maxAge*inflow.Rate)
			if !r.fleet.role.hub {
				require.GreaterOrEqual(t, inflow.Unseen, hubFastInterval.Seconds()/4*inflow.Rate, "the report passed through two hubs")
			}
		}
	})
}

func TestTotalsAddUpUnseenWork(t *testing.T) {
	w := newTotals()
	w.add(&Report{Inflows: []Inflow{{Service: "llm", Rate: 10, Unseen: 1, OverShare: 4}}}, 1, 200*time.Millisecond)
	w.add(&Report{Inflows: []Inflow{{Service: "llm", Rate: 20}}}, 1, 100*time.Millisecond)
	require.Equal(t, 30.0, w.Inflows["llm"].Rate)
	require.InDelta(t, 1+2+2, w.Inflows["llm"].Unseen, 1e-9)
	require.Equal(t, 4.0, w.Inflows["llm"].OverShare)
	w.add(&Report{Inflows: []Inflow{{Service: "llm", Rate: 10, Unseen: 1, OverShare: 4}}}, -1, 200*time.Millisecond)
	require.InDelta(t, 2, w.Inflows["llm"].Unseen, 1e-9, "subtracting a report undoes adding it")
}
