package callers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/standin/service"
)

// hasty makes the requests of callers who don't wait long for a free slot, so that
// many are refused: streams and plain answers, in turn at all routers.
func hasty(w *failtest.World) func(int) load.Request {
	return func(i int) load.Request {
		q := w.Request([]load.Form{load.Streamed, load.Plain}[i%2], i, i/2, 20)
		q.Deadline = 150 * time.Millisecond
		return q
	}
}

// died excuses answers that broke off; the callers don't hear that nothing ran.
func died(load.Result) bool { return true }

// All engines die, three times, while more callers ask than fit, and come back empty.
// A caller who reads "not run" sends again; were the refusal of a request that had
// reached an engine to say so, its marking would be done twice.
func TestNotRunIsTrueWhenEnginesDie(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	traffic := w.Traffic(40, hasty(w))
	for range 3 {
		whole, crashes := traffic.Count(failtest.Whole), w.Crashes()
		w.Engines(engine.Faults{CrashOn: "journal", ReviveMs: 300})
		w.Eventually("all engines died", func() bool { return w.Crashes() >= crashes+3 })
		w.Engines(engine.Faults{})
		w.Eventually("served again", func() bool { return traffic.Count(failtest.Whole) > whole+40 })
	}
	results := traffic.Stop()
	require.NotEmpty(t, failtest.Filter(results, failtest.NotRun))
	w.Check(results, died)
}

// The links to the engines are cut while requests are on them, break, and heal. What
// left a router before the cut may arrive afterwards and run, whatever its router
// thinks of it by then.
func TestNotRunIsTrueWhenLinksAreCut(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	traffic := w.Traffic(40, hasty(w))
	for range 3 {
		whole, refused := traffic.Count(failtest.Whole), traffic.Count(failtest.NotRun)
		w.CutLinks()
		w.Eventually("callers are refused", func() bool { return traffic.Count(failtest.NotRun) > refused+40 })
		w.BreakLinks()
		w.HealLinks()
		w.Eventually("served again", func() bool { return traffic.Count(failtest.Whole) > whole+40 })
	}
	w.Check(traffic.Stop(), died)
}

// A plain service runs a quota confirmation and closes the kept-alive connection
// without an answer. The HTTP library may take such a connection for one that was
// closed while idle, and send the confirmation once more behind the caller's back.
func TestACallIsNotReplayedWhenItsConnectionCloses(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.AllWhole(w.SendAll(w.Requests(12, load.ServiceSave, 0)...).Wait())
	w.Services(service.Faults{LoseAnswers: true})
	saves := w.Requests(12, load.ServiceSave, 0)
	for i := range saves {
		saves[i].Deadline = time.Second // both services are soon taken out
	}
	results := w.SendAll(saves...).Wait()
	require.NotEmpty(t, failtest.Filter(results, failtest.MayHaveRun))
	require.Empty(t, failtest.Filter(results, failtest.Whole))
	w.Check(results, load.NoExcuse)
}
