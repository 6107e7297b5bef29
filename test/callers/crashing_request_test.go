package callers_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/engine"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// maxDeaths is the documented number of upstreams that one content can kill.
const maxDeaths = 2

// One request kills every engine that runs it, and takes the other requests of its
// batch along. Its caller sends it again and again, each time at another router, and
// without containment would take all engines down in turn. The others of its batch,
// which look as suspect at first, must be served when they are sent again. A router
// that restarts with no state must learn what the others know.
func TestACrashingRequestIsContained(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	poison := w.Request(load.Streamed, 0, 0, 50)
	w.Engines(engine.Faults{CrashOn: poison.Marker})
	batch := w.SendAll(w.Requests(12, load.Streamed, 200)...)
	w.AwaitRunning(12)
	require.False(t, failtest.Whole(w.Send(poison)))
	require.Equal(t, 1, w.Crashes())

	var victims []load.Request
	for _, r := range batch.Wait() {
		if !failtest.Whole(r) {
			victims = append(victims, w.At(r.Request, len(victims)))
		}
	}
	require.NotEmpty(t, victims)
	require.True(t, failtest.Whole(w.Send(victims[0])), "a victim by itself")
	for _, r := range w.SendAll(victims...).Wait() {
		require.Equal(t, load.Whole, r.Outcome, r.Fault)
	}

	beside := w.SendAll(w.Requests(12, load.Streamed, 200)...)
	w.AwaitRunning(12)
	require.False(t, refusedForGood(w.Send(w.At(poison, 1))), "a suspect isn't refused yet")
	w.AllWhole(beside.Wait()) // it ran alone
	w.AwaitGauge("quarantine_confirmed", 1)
	for i := range 9 {
		r := w.Send(w.At(poison, i))
		require.True(t, refusedForGood(r), r.Fault)
	}
	restarted := w.Keeper()
	require.NoError(t, w.Routers[restarted].Kill())
	w.Return(restarted)
	w.AwaitGauge("quarantine_confirmed", 1)
	require.True(t, refusedForGood(w.Send(w.At(poison, restarted))))
	require.Equal(t, maxDeaths, w.Crashes())
	w.AllWhole(w.SendAll(w.Requests(12, load.Streamed, 10)...).Wait())
}

func refusedForGood(r load.Result) bool {
	return failtest.NotRun(r) && r.Status == http.StatusUnprocessableEntity && r.Code == string(verdict.CodeQuarantined)
}
