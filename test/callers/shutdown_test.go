package callers_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/service"
	"github.com/flamingowind/flamingowind/pkg/verdict"
)

// Routers are taken down for maintenance one after the other, while answers stream and
// more requests wait at them for a slot: the keeper of the cell, another one, and the
// keeper on an operator's word. A learner's explanation that breaks off, or a save
// that is lost, would show. Who connects there meanwhile must hear where to go.
func TestAGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, nil)
	w.Services(service.Faults{CallMs: 1500})
	terminate := func(i int) { require.NoError(t, w.Routers[i].Terminate()) }
	for _, leave := range []func(int){terminate, terminate, w.Drain} {
		leaving := w.Keeper()
		sent := w.SendAll(loaded(w, leaving)...)
		w.AwaitRunning(24 + 12)
		leave(leaving)
		refused := false
		w.Eventually("new callers are refused", func() bool {
			refusal, listens := w.Ask(0, leaving)
			refused = refused || namesOthers(w, refusal, leaving)
			return refused || !listens
		})
		w.AllWhole(sent.Wait())
		require.True(t, refused, "the router ended before it refused anybody")
		w.AwaitEnd(leaving)
		w.Return(leaving)
	}
}

// loaded is more than the engines can run at once, most of it at one router, and saves.
func loaded(w *failtest.World, router int) []load.Request {
	requests := w.Requests(9, load.Streamed, 250)
	for i := range 30 {
		requests = append(requests, w.Request(load.Streamed, i, router, 250))
	}
	for i := range 12 {
		requests = append(requests, w.Request(load.ServiceSave, i, router, 0))
	}
	return requests
}

// namesOthers says that the router refused as leaving and not run, and named addresses
// that don't include its own.
func namesOthers(w *failtest.World, r failtest.Refusal, router int) bool {
	e := r.Error
	return e.Code == verdict.CodeDraining && r.Header == verdict.NotRun.String() && e.Verdict == r.Header &&
		len(e.Entries) > 0 && !slices.Contains(e.Entries, w.Entry(router))
}
