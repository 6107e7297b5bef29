package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// ofLives are faults of upstreams' lives and entries.
var ofLives = map[string]action{"upstream_reborn": reborn, "reborn_unseen": rebornUnseen, "foreign_row": foreignRow}

// livesEvery is the number of other faults for each of ofLives.
const livesEvery = 6

// planLives gives those faults of a seed, beside plan.
func planLives(o Options) []fault { return planApart(o, ofLives, 1, livesEvery) }

// planApart gives one of some kinds of faults for every so many others. They are drawn apart from the
// others, by a number of their own, so that seeds which have shown something bring the same other
// faults about as then.
func planApart(o Options, kinds map[string]action, number uint64, every int) []fault {
	random := rand.New(rand.NewPCG(o.Seed, number))
	var list []fault
	for range max(1, o.Faults/every) {
		f := timed(random, o)
		f.kind, f.index = draw(random, kinds), random.IntN(o.Upstreams)
		list = append(list, f)
	}
	return list
}

// clockStep is how far the time of day of some hosts jumps back between two starts.
const clockStep = time.Minute

// nextBorn is when an upstream says that it starts again; on every other host the time of day
// has jumped back.
func nextBorn(f fault) time.Time {
	if f.index%2 == 0 {
		return time.Now().Add(-clockStep)
	}
	return time.Now()
}

// reborn ends an upstream's process and starts it again under its ID.
func reborn(ctx context.Context, w *world, f fault) {
	u := w.upstream(f.index)
	defer w.journal.begin(partUpstream, f.index)()
	u.engine.Restart(nextBorn(f))
	waiting.For(ctx, f.lasts/2) // its entry is late
	w.relist(u)
	waiting.For(ctx, f.lasts/2)
}

// rebornUnseen does so behind a cut: its connections stay open and silent, and the entry goes
// and comes back.
func rebornUnseen(ctx context.Context, w *world, f fault) {
	u := w.upstream(f.index)
	defer w.journal.begin(partUpstream, f.index)()
	defer w.journal.begin(partUplink, f.index)()
	u.relay.Cut()
	u.engine.Restart(nextBorn(f))
	waiting.For(ctx, f.lasts/2)
	w.store.Unlist(u.engine)
	waiting.For(ctx, f.lasts/2)
	u.relay.Heal()
	w.relist(u)
}

// foreignRow puts another writer's row over an upstream's entry for longer than a change
// needs to be in force.
func foreignRow(ctx context.Context, w *world, f fault) {
	u := w.upstream(f.index)
	values := platformtest.Foreign(u.engine.RowAt(u.service, "ready", u.relay.Addr()))
	names := slices.Sorted(maps.Keys(values))
	w.history.overwrite(u.engine.ID)
	w.store.PutBytes("servers", u.engine.ID, values[names[int(f.lasts)%len(names)]])
	waiting.For(ctx, inForce+late+f.lasts)
	w.relist(u)
}
