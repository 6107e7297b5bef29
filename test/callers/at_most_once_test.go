package callers_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/platform"
	"github.com/flamingowind/flamingowind/pkg/standin/service"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// everywhere sends each request at all routers at the same moment.
func everywhere(w *failtest.World, requests []load.Request) *failtest.Pending {
	var copies []load.Request
	for _, q := range requests {
		for i := range w.Routers {
			copies = append(copies, w.At(q, i))
		}
	}
	return w.SendAll(copies...)
}

// A client library sends one quota confirmation to every address it knows at once.
// Each router takes it for the first, and the quota would be sold three times.
func TestOneKeyAtAllRoutersAtOnceRunsOnce(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.Services(service.Faults{CallMs: 100})
	saves := w.Requests(20, load.ServiceSave, 0)
	results := everywhere(w, saves).Wait()
	require.Empty(t, failtest.Filter(results, failtest.NotRun))
	w.RanAtMostOnce(saves)
	w.Insist(saves) // the answer is kept for who asks again
}

// A router is killed while progress saves run and wait behind it. Their callers send
// them again at the other routers, then at the router that came back with no state.
// Nobody can know how far they got: none may run again, and none be called not run.
func TestAResendAfterItsRouterWasKilledDoesNotRun(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.Services(service.Faults{CallMs: 1500})
	saves := make([]load.Request, 16)
	for i := range saves {
		saves[i] = w.Request(load.ServiceSave, i, 0, 0)
	}
	first := w.SendAll(saves...)
	w.AwaitRunning(len(saves))
	require.NoError(t, w.Routers[0].Kill())
	broken := first.Wait()
	require.Len(t, failtest.Filter(broken, failtest.Broken), len(saves), "%v", failtest.Tally(broken))
	require.NoError(t, w.Restart(t.Context(), 0))
	again := everywhere(w, saves).Wait()
	require.Len(t, failtest.Filter(again, failtest.MayHaveRun), len(again), "%v", failtest.Tally(again))
	w.RanAtMostOnce(saves)
}

// The table takes each second write and loses its answer. The router can't tell
// whether the key is recorded; run at once, it may run again, and refused for good, the
// save would be lost.
func TestLostAnswersOfTheTableNeitherDoubleNorBlock(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.PlatformFaults(platform.Faults{TableLoseAnswers: 0.5})
	saves := w.Requests(24, load.ServiceSave, 0)
	results := everywhere(w, saves[:12]).Wait()
	w.RanAtMostOnce(saves)
	require.Empty(t, failtest.Filter(results, failtest.Broken))
	w.Insist(saves[12:])
	w.PlatformFaults(platform.Faults{})
	w.RanAtMostOnce(saves)
}

// The table is out. A save is refused as not run, rather than run without its record;
// everything that may be repeated goes on. After the outage the same keys work.
func TestAnOutageOfTheTableStopsOnlyWhatMayNotBeRepeated(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.PlatformFaults(platform.Faults{TableDown: true})
	saves := w.Requests(12, load.ServiceSave, 0)
	refused := everywhere(w, saves).Wait()
	require.Len(t, failtest.Filter(refused, failtest.Code(verdict.CodeTableDown)), len(refused))
	require.Len(t, failtest.Filter(refused, failtest.NotRun), len(refused))
	w.NoneRan(refused)
	w.AllWhole(w.SendAll(append(w.Requests(9, load.Streamed, 10), w.Requests(9, load.ServiceCall, 0)...)...).Wait())
	w.PlatformFaults(platform.Faults{})
	w.Insist(saves)
}

// The table gets so slow that writes take effect after their routers gave up, loses
// answers, and then is out altogether. A row that lands late must not make a later
// attempt of the same caller a duplicate of one that never ran.
func TestASlowTableThatFailsNeitherDoublesNorBlocks(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.AllWhole(w.SendAll(w.Requests(9, load.ServiceSave, 0)...).Wait()) // all know the epoch row
	saves := w.Requests(12, load.ServiceSave, 0)
	for _, faults := range []platform.Faults{
		{TableDelayMs: 1500, TableLoseAnswers: 0.5},
		{TableDown: true},
	} {
		w.PlatformFaults(faults)
		refused := w.SendAll(saves...).Wait()
		require.Empty(t, failtest.Filter(refused, failtest.Whole))
		w.NoneRan(refused)
	}
	w.PlatformFaults(platform.Faults{})
	w.Insist(saves)
}
