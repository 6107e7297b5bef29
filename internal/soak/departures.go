package soak

import (
	"context"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// ofDepartures are faults of upstreams that leave without saying so: their entries go, and they
// serve on for a while.
var ofDepartures = map[string]action{"upstream_unlisted": unlist, "unlisted_behind_cut": unlistBehindCut}

// departuresEvery is the number of other faults for each of ofDepartures.
const departuresEvery = 8

// planDepartures gives those faults of a seed, beside all others.
func planDepartures(o Options) []fault { return planApart(o, ofDepartures, 3, departuresEvery) }

const (
	// cutFor is how long a router is away from the store and its peers: its questions fail, and entries lapse
	// where the store is away as well.
	cutFor = 6 * time.Second
	// servesOn is how long an upstream serves after its entry is gone: until no router may be
	// excused by a cut that ended after that.
	servesOn = settle + drainTime + late
)

// unlist replaces an upstream whose entry goes without a word.
func unlist(ctx context.Context, w *world, f fault) {
	old, err := w.replace(f.index, "")
	if err != nil {
		return // no ports are left; the run goes on with the old one
	}
	w.history.leaving(old.engine.ID)
	w.store.Unlist(old.engine)
	waiting.For(ctx, servesOn+f.lasts)
	old.close()
}

// unlistBehindCut does so while a router is away, which then finds the entry missing.
func unlistBehindCut(ctx context.Context, w *world, f fault) {
	index := f.index % len(w.routers)
	r := w.routers[index]
	endStore, endPeers := w.journal.begin(partStore, index), w.journal.begin(partPeers, everywhere)
	r.store.Cut()
	w.cutPeers()
	time.AfterFunc(cutFor, func() {
		r.store.Reset()
		r.store.Heal()
		w.healPeers()
		endStore()
		endPeers()
	})
	waiting.For(ctx, cutFor-f.lasts/2)
	unlist(ctx, w, f)
}
