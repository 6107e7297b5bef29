package orders

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/fleettest"
	"github.com/flamingowind/flamingowind/pkg/settings"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
)

func TestMain(m *testing.M) {
	fleettest.AtMost(2)
	os.Exit(fleettest.Main(m))
}

// Models that orders name.
const (
	older = "tutor-1"
	newer = "tutor-2"
)

// noFaults end all failures that are switched on.
var (
	noFaults       = platform.Faults{}
	noEngineFaults = engine.Faults{}
)

// looked is so many looks that each of three routers has looked several times.
const looked = 15

const lookEvery = settings.Duration(250 * time.Millisecond)

// plan is three routers and so many engines, in one process, that all check the
// fencing number or all don't. Only the time between looks is short.
func plan(engines int, checks bool, change func(*settings.Settings)) devfleet.Plan {
	p := fleettest.Plan(3, engines, 1)
	p.EnginesPerProcess = engines
	if !checks {
		p.Fenceless = engines
	}
	p.Adjust = func(_ int, s *settings.Settings) {
		s.Timing.OrderInterval = lookEvery
		if change != nil {
			change(s)
		}
	}
	return p
}

// shortLeases make a take-over take seconds: a lease may be taken over after 4.5 s, and
// after 6.5 s when the engine ignores the fencing number. A router tries after 0, 1, 3
// and 7 s.
func shortLeases(s *settings.Settings) {
	s.Timing.OrderTTL = settings.Duration(3500 * time.Millisecond)
	s.Timing.OrderLongest = settings.Duration(2 * time.Second)
	s.Timing.OrderPatience = settings.Duration(time.Second)
}

// requireFencesGrow checks that an engine got no two orders under one fencing number,
// and none under a number lower than an earlier one.
func requireFencesGrow(t *testing.T, orders []engine.ReceivedOrder) {
	t.Helper()
	for i, o := range orders[1:] {
		require.Greater(t, o.Fence, orders[i].Fence, "%+v", orders)
	}
}
