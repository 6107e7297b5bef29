package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/patience"
)

// historyOverlap is the number of revisions before its first read for which a starting router
// requests the changes: more than upstreams write within two heartbeats, after which their entries
// say that they are cold.
const historyOverlap = 1000

// nextConfig reads all declarations, or waits for those after a revision.
func (w *Watcher) nextConfig(ctx context.Context, after Revision) (Revision, error) {
	if after == 0 {
		bound := w.configTimeout()
		ctx, call := patience.With(ctx, bound)
		defer call.End()
		startedAt := time.Now()
		declared, rev, err := w.store.Declared(ctx)
		w.firstConfig.Ended(err, bound, time.Since(startedAt))
		if err != nil {
			return 0, errors.Trace(err)
		}
		w.catalog.ReplaceEvacuations(evacuatedZones(declared.Zones), rev, "store")
		w.adopt(declared)
		return w.watchStart(rev), nil
	}
	ctx, call := patience.With(ctx, configWait+readTimeout)
	defer call.End()
	w.configCall.Store(call)
	declared, rev, err := w.store.DeclaredAfter(ctx, after, configWait)
	if err != nil {
		return 0, errors.Trace(err)
	}
	w.catalog.ApplyZoneChanges(declared.Zones, after, rev, "store")
	w.catalog.MergeRestorations(restorations(declared.Zones, rev, time.Now()), "store")
	w.adopt(declared)
	return rev, nil
}

// configTimeout bounds the silence of reading all declarations.
func (w *Watcher) configTimeout() time.Duration {
	if w.catalog.Version() > 0 {
		return readTimeout
	}
	return w.firstConfig.Get(readTimeout)
}

// watchStart returns the revision after which the watch continues after a read. After the first
// read it is some time earlier.
//
// Routers that all start just after a zone was restored have no peer to learn that from. The zone's
// upstreams may still be listed as warm.
func (w *Watcher) watchStart(read Revision) Revision {
	if w.historyRead {
		return read
	}
	w.historyRead = true
	return read.Back(historyOverlap)
}

// restorations returns the restorations among changes, which this router learned of at now.
func restorations(changes []ZoneChange, rev Revision, now time.Time) []Restoration {
	var list []Restoration
	for _, ch := range changes {
		if ch.Restored {
			list = append(list, Restoration{Zone: ch.Zone, At: now, Revision: rev})
		}
	}
	return list
}

// adopt adopts the configuration of a declaration, if there is one.
func (w *Watcher) adopt(d Declared) {
	if d.Config != nil {
		w.catalog.Adopt(d.Config, "store")
	}
}
