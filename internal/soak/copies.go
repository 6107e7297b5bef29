package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// ofCopies are faults of a store that comes back from a copy some seconds old.
var ofCopies = map[string]action{"store_from_copy": restoreCopy}

// copiesEvery is the number of other faults for each of ofCopies.
const copiesEvery = 12

// planCopies gives those faults of a seed, beside all others.
func planCopies(o Options) []fault { return planApart(o, ofCopies, 9, copiesEvery) }

const (
	// copyAge is the age of the copy, awayFor how long the store is away before it comes back.
	copyAge = 2 * time.Second
	awayFor = 500 * time.Millisecond
	// heartbeatPause is the pause between writes that nobody reads, by which the versions of the copy fall behind.
	heartbeatPause = 10 * time.Millisecond
)

// restoreCopy makes the store lose what was written in the last seconds. The operator and the upstreams write theirs
// again within a second; the routers have to do so with theirs.
func restoreCopy(ctx context.Context, w *world, f fault) {
	older := w.store.Copy()
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < copyAge; {
		w.store.Put("other", "heartbeat", time.Since(began))
		waiting.For(ctx, heartbeatPause)
	}
	defer w.journal.begin(partStore, everywhere)()
	w.store.Refuse(http.StatusServiceUnavailable)
	w.store.CloseClientConnections()
	waiting.For(ctx, awayFor)
	lost := w.store.Copy()
	w.store.Restore(older)
	w.store.Refuse(0)
	waiting.For(ctx, f.lasts/2)
	w.store.WriteAgain(lost)
}
