package callers_test

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
)

// slowSteps let no answer end before all others have begun, however late the machine begins them.
var slowSteps = engine.Faults{StepMs: 250}

// A host between routers and engines restarts, twice, while learners' answers stream.
// Without resuming, each would see its answer break off; resumed at the wrong place,
// words would be missing or stand twice.
func TestBrokenStreamsAreResumedWhole(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.Engines(slowSteps)
	var tokens atomic.Int64
	w.Caller.OnToken = func(_ *load.Request, n int) { tokens.Add(int64(n)) }
	sent := w.SendAll(w.Requests(18, load.Streamed, 150)...)
	for range 2 {
		w.AwaitRunning(18)
		before := tokens.Load()
		w.Eventually("answers stream", func() bool { return tokens.Load() >= before+18 })
		w.BreakLinks()
	}
	w.Engines(engine.Faults{})
	w.AllWhole(sent.Wait())
}

// Each engine closes its connection again and again after a few events. The answer
// crosses several connections, and the caller must not notice.
func TestAStreamThatBreaksAtEachEngineIsWhole(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.Engines(engine.Faults{BreakAfter: 5})
	w.AllWhole(w.SendAll(w.Requests(18, load.Streamed, 40)...).Wait())
}

// The link to the engines is cut while answers are under way. The engines finish
// meanwhile, and all that they sent comes late and at once when the link heals.
func TestLateAnswersReachTheirOwnCallers(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.Engines(slowSteps)
	requests := append(w.Requests(9, load.Streamed, 60), w.Requests(9, load.Plain, 60)...)
	sent := w.SendAll(requests...)
	w.AwaitRunning(len(requests))
	w.CutLinks()
	w.Engines(engine.Faults{})
	w.Idle()
	w.HealLinks()
	w.AllWhole(sent.Wait())
}

// Engines answer under another attempt's id, stop half-way, or send bytes that aren't
// JSON. A caller may get an error, but never a part, a stranger's answer or garbage
// that looks like its answer. Once the engines are well, callers are served again.
func TestNoBadAnswerPassesForAWholeOne(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]engine.Faults{
		"wrong attempt": {WrongAttempt: true},
		"truncated":     {Truncate: true},
		"garbage":       {Garbage: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := failtest.Start(t, nil)
			w.Engines(faults)
			results := w.SendAll(append(w.Requests(6, load.Streamed, 40), w.Requests(6, load.Plain, 40)...)...).Wait()
			require.Empty(t, failtest.Filter(results, failtest.Whole))
			w.Check(results, func(r load.Result) bool { return r.Form == load.Streamed })
			w.Engines(engine.Faults{})
			w.Eventually("served again", func() bool { return failtest.Whole(w.Send(w.Request(load.Streamed, 0, 0, 5))) })
		})
	}
}
