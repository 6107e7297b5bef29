package callers_test

import (
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
		w.Eventually("all slots are taken and saves run", func() bool { return w.Running() == 24+12 })
		leave(leaving)
		w.Eventually("new callers are refused", func() bool { return refusedWithOthers(w, leaving) })
		w.AllWhole(sent.Wait())
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

func refusedWithOthers(w *failtest.World, router int) bool {
	r, ok := w.Ask(0, router)
	if !ok || r.Error.Code != verdict.CodeDraining {
		return false
	}
	for _, entry := range r.Error.Entries {
		if entry == w.Entry(router) {
			return false
		}
	}
	return r.Header == verdict.NotRun.String() && len(r.Error.Entries) > 0
}
