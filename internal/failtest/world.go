package failtest

import (
	"context"
	"testing"
	"time"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
)

const (
	// maxFleets bounds the fleets of this process that run at once.
	maxFleets = 4
	// startWithin bounds the start of one fleet.
	startWithin = time.Minute
	// patience is how long a caller waits for one answer: longer than the routers let a
	// request wait that gives no deadline.
	patience = 90 * time.Second
)

// places holds a token for each running fleet.
var places = make(chan struct{}, maxFleets)

// World is a running fleet with a caller.
type World struct {
	*devfleet.Fleet
	Caller *load.Caller

	t   testing.TB
	ctx context.Context
}

// Start starts the fleet of the demo, with relays and with what change alters; change
// may be nil. It waits until each router sees all others alive, so that the keepers of
// cells don't change by themselves any more. The fleet ends with the test.
func Start(t testing.TB, change func(*devfleet.Plan)) *World {
	t.Helper()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	plan := devfleet.DemoPlan(binDir, t.TempDir())
	plan.Relays = true
	if change != nil {
		change(&plan)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startWithin)
	defer cancel()
	fleet, err := devfleet.Start(ctx, plan)
	if err != nil {
		t.Fatal(err)
	}
	w := &World{Fleet: fleet, Caller: load.NewCaller(plan.Model, plan.Service, patience), t: t, ctx: t.Context()}
	t.Cleanup(w.stop)
	w.AwaitMembers()
	return w
}

func (w *World) stop() {
	w.Caller.Close()
	w.Fleet.Stop(context.WithoutCancel(w.ctx))
	if w.t.Failed() {
		w.logTails()
	}
}

func (w *World) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}
