package callers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

const (
	// listLag is the age of the platform's host list.
	listLag = time.Second
	// leaveWithin is the "few seconds" of the promise, from the moment at which the list shows it.
	leaveWithin = 6 * time.Second
)

// crowd makes short streams of more callers than all engines have slots.
func crowd(w *failtest.World) *failtest.Traffic {
	return w.Traffic(60, func(i int) load.Request { return w.Request(load.Streamed, i, i/3, 15) })
}

// Engines' hosts are taken away one after the other, under load. Work given to one
// after the few seconds that its operator waits would be cut when the host goes. The
// platform's list lags; then a router, then the keeper of the cell can't read it at all.
func TestALeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, func(p *devfleet.Plan) { p.Engines, p.Slots = 5, 6 })
	w.PlatformFaults(platform.Faults{HostsLagMs: int(listLag.Milliseconds())})
	traffic := crowd(w)
	keeper := w.Keeper()
	cut := func(router int) func(string) {
		return func(engine string) { w.Routers[router].Platform.Cut(); w.MarkLeaving(engine) }
	}
	for i, mark := range []func(string){w.MarkLeaving, cut((keeper + 1) % 3), cut(keeper), w.DeclareLeaving} {
		engine := fmt.Sprintf("engine-%02d", i+1)
		w.AwaitNewWork(engine)
		marked := time.Now()
		mark(engine)
		last := w.AwaitNoNewWork(engine)
		require.Less(t, last.Sub(marked), listLag+leaveWithin, engine)
		for _, r := range w.Routers {
			r.Platform.Heal()
		}
	}
	w.Check(traffic.Stop(), load.NoExcuse)
}

// A router is cut off from all others and from the platform just before an engine
// leaves: it can't hear of it from anybody. It must stop by itself, and say so.
func TestARouterThatCannotKnowWhoLeavesStopsSending(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	traffic := crowd(w)
	alone := w.Keeper()
	w.AwaitNewWork("engine-01")
	w.Isolate(alone)
	w.Routers[alone].Platform.Cut()
	marked := time.Now()
	w.MarkLeaving("engine-01")
	w.Eventually("the router refuses", func() bool { return traffic.Count(failtest.Code(verdict.CodeStale)) > 0 })
	last := w.AwaitNoNewWork("engine-01")
	require.Less(t, last.Sub(marked), 2*leaveWithin)
	results := traffic.Stop()
	for _, r := range failtest.Filter(results, failtest.Code(verdict.CodeStale)) {
		require.Equal(t, w.Entry(alone), r.Entry)
	}
	w.Check(results, load.NoExcuse)
}
