package callers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
)

// Guards against new work at an engine whose answers say that it leaves, while neither its operator nor the platform has
// said so yet: it would be cut when the engine ends.
func TestAnEngineThatSaysThatItLeavesGetsNoNewWork(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, func(p *devfleet.Plan) { p.Engines, p.Slots = 4, 6 })
	traffic := crowd(w)
	w.AwaitNewWork("engine-01")
	w.Engine("engine-01", engine.Faults{Leaving: true})
	said := time.Now()
	last := w.AwaitNoNewWork("engine-01")
	require.Less(t, last.Sub(said), leaveWithin)
	w.Check(traffic.Stop(), load.NoExcuse)
}

// Guards against callers who wait for engines that want no requests, and against engines that stay out of use after the
// time that they asked for.
func TestWhereAllEnginesWantNoRequestsCallersAreRefusedForThatTime(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	traffic := crowd(w)
	w.AwaitNewWork("engine-01")
	refused := traffic.Count(failtest.NotRun)
	w.Engines(engine.Faults{BackoffSeconds: 3})
	w.Eventually("callers are refused", func() bool { return traffic.Count(failtest.NotRun) > refused+40 })
	w.Engines(engine.Faults{})
	whole := traffic.Count(failtest.Whole)
	w.Eventually("served again", func() bool { return traffic.Count(failtest.Whole) > whole+40 })
	w.Check(traffic.Stop(), load.NoExcuse)
}
