package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// fault is something that is brought about from outside the processes.
type fault struct {
	kind string
	// index is the router or upstream that it hits.
	index int
	at    time.Duration
	// lasts is the time until it is undone.
	lasts time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%.1f s %s %d for %.1f s", f.at.Seconds(), f.kind, f.index, f.lasts.Seconds())
}

// sound is how upstreams behave without a fault.
var sound = crashing(platformtest.Behaviour{Delay: 5 * time.Millisecond, Pause: 3 * time.Millisecond})

// action brings a fault about and undoes it after f.lasts.
type action func(ctx context.Context, w *world, f fault)

// Kinds of faults, by what they hit.
var (
	ofRouters = map[string]action{
		"kill": kill, "pause": pauseRouter, "leave": leave, "hangup": hangup,
		"cut_callers":        link(partCallers, func(r *router) cuttable { return r.callers }, cuttable.Cut),
		"cut_answers":        link(partCallers, func(r *router) cuttable { return r.callers }, cuttable.CutAnswers),
		"reset_callers":      link(partCallers, func(r *router) cuttable { return r.callers }, cuttable.Reset),
		"delay_callers":      link(partCallers, func(r *router) cuttable { return r.callers }, delay),
		"cut_peers":          link(partPeers, func(r *router) cuttable { return r.peers }, cuttable.Cut),
		"cut_peers_answers":  link(partPeers, func(r *router) cuttable { return r.peers }, cuttable.CutAnswers),
		"reset_peers":        link(partPeers, func(r *router) cuttable { return r.peers }, cuttable.Reset),
		"delay_peers":        link(partPeers, func(r *router) cuttable { return r.peers }, delay),
		"cut_store":          link(partStore, func(r *router) cuttable { return r.store }, cuttable.Cut),
		"cut_store_answers":  link(partStore, func(r *router) cuttable { return r.store }, cuttable.CutAnswers),
		"reset_store":        link(partStore, func(r *router) cuttable { return r.store }, cuttable.Reset),
		"delay_store":        link(partStore, func(r *router) cuttable { return r.store }, delay),
		"store_refuses_all":  storeRefuses,
		"store_loses":        storeLoses,
		"store_forgets":      storeForgets,
		"move_route":         moveRoute,
		"give_and_take_key":  giveKey,
		"declare_many_times": declareMany,
	}
	ofUpstreams = map[string]action{
		"upstream_dark":   darken,
		"upstream_resets": resetUpstream,
		"upstream_fails":  behave(platformtest.Behaviour{Failed: 0.5, Delay: sound.Delay, Pause: sound.Pause}),
		"upstream_loses":  behave(platformtest.Behaviour{Lost: 0.5, Delay: sound.Delay, Pause: sound.Pause}),
		"upstream_breaks": behave(platformtest.Behaviour{Broken: 0.5, Delay: sound.Delay, Pause: sound.Pause}),
		"upstream_silent": behave(platformtest.Behaviour{Silent: true}),
		"upstream_slow":   behave(platformtest.Behaviour{Delay: 300 * time.Millisecond, Pause: 20 * time.Millisecond}),
		"upstream_leaves": retire,
	}
)

// cuttable is a link that can be harmed.
type cuttable interface {
	Cut()
	CutAnswers()
	Heal()
	Reset()
	SetDelay(time.Duration)
}

// linkDelay is the delay one way of a slow link.
const linkDelay = 150 * time.Millisecond

func delay(l cuttable) { l.SetDelay(linkDelay) }

func link(p part, of func(*router) cuttable, harm func(cuttable)) action {
	return func(ctx context.Context, w *world, f fault) {
		l := of(w.routers[f.index])
		defer w.journal.begin(p, f.index)()
		harm(l)
		waiting.For(ctx, f.lasts)
		l.SetDelay(0)
		l.Heal()
	}
}

func kill(ctx context.Context, w *world, f fault) {
	r := w.routers[f.index]
	defer w.journal.begin(partProcess, f.index)()
	r.ending.Store(true)
	_ = r.process.Kill() // it may have ended by an earlier fault
	waiting.For(ctx, f.lasts)
	r.restart()
}

func pauseRouter(ctx context.Context, w *world, f fault) {
	r := w.routers[f.index]
	defer w.journal.begin(partProcess, f.index)()
	_ = r.process.Pause() // as above
	waiting.For(ctx, f.lasts)
	_ = r.process.Resume()
}

// leave asks a router to end in order and starts it again. The end itself excuses nothing:
// requests that were read are answered.
func leave(ctx context.Context, w *world, f fault) {
	r := w.routers[f.index]
	endLeaving := w.journal.begin(partLeaving, f.index)
	r.ending.Store(true)
	_ = r.process.Terminate() // as above
	select {
	case <-r.process.Gone():
	case <-time.After(grace):
	}
	endLeaving()
	defer w.journal.begin(partProcess, f.index)()
	_ = r.process.Kill() // one that is paused doesn't end by itself
	waiting.For(ctx, f.lasts)
	r.restart()
}

func hangup(_ context.Context, w *world, f fault) { w.routers[f.index].hangup() }

func storeRefuses(ctx context.Context, w *world, f fault) {
	defer w.journal.begin(partStore, everywhere)()
	w.store.Refuse(http.StatusServiceUnavailable)
	w.store.CloseClientConnections()
	waiting.For(ctx, f.lasts)
	w.store.Refuse(0)
}

func storeLoses(ctx context.Context, w *world, f fault) {
	defer w.journal.begin(partStore, everywhere)()
	w.store.LoseAnswers(true)
	waiting.For(ctx, f.lasts)
	w.store.LoseAnswers(false)
}

func storeForgets(_ context.Context, w *world, _ fault) { w.store.Forget() }

func moveRoute(_ context.Context, w *world, _ fault) { w.history.declare(move) }

func giveKey(ctx context.Context, w *world, f fault) {
	w.history.declare(func(d *platformtest.Declaration) { d.Keys[passingKey] = organisation(0) })
	waiting.For(ctx, f.lasts)
	w.history.declare(func(d *platformtest.Declaration) { delete(d.Keys, passingKey) })
}

// declarations of a quick series, and the pause between two.
const (
	declarations     = 10
	declarationPause = 50 * time.Millisecond
)

func declareMany(ctx context.Context, w *world, _ fault) {
	for range declarations {
		w.history.declare(move)
		waiting.For(ctx, declarationPause)
	}
}

func move(d *platformtest.Declaration) {
	if d.Moved == mainService {
		d.Moved = otherService
		return
	}
	d.Moved = mainService
}

func behave(b platformtest.Behaviour) action {
	return func(ctx context.Context, w *world, f fault) {
		u := w.upstream(f.index)
		defer w.journal.begin(partUpstream, f.index)()
		u.engine.Behave(crashing(b))
		waiting.For(ctx, f.lasts)
		u.engine.Behave(sound)
	}
}

func darken(ctx context.Context, w *world, f fault) {
	u := w.upstream(f.index)
	defer w.journal.begin(partUpstream, f.index)()
	defer w.journal.begin(partUplink, f.index)()
	u.relay.Cut()
	waiting.For(ctx, f.lasts)
	u.relay.Heal()
}

func resetUpstream(_ context.Context, w *world, f fault) {
	defer w.journal.begin(partUpstream, f.index)()
	w.upstream(f.index).relay.Reset()
}

// retire replaces an upstream: the new one starts, the old one is told to be leaving, goes
// off the list and is gone after the time that it owes.
func retire(ctx context.Context, w *world, f fault) { w.retire(ctx, f.index, f.lasts, "") }

// retire replaces an upstream by one of a software version; an empty one stands for the same.
func (w *world) retire(ctx context.Context, index int, lasts time.Duration, software string) {
	old, err := w.replace(index, software)
	if err != nil {
		return // no ports are left; the run goes on with the old one
	}
	w.history.named(old.engine.ID)
	w.store.List(old.engine, old.service, old.relay.Addr(), true)
	w.history.leaving(old.engine.ID)
	waiting.For(ctx, drainTime+lasts)
	w.store.Unlist(old.engine)
	time.AfterFunc(drainTime, old.close)
}

// Shares of a run's length between which faults begin, and how long they last.
const (
	firstAt   = 0.1
	lastAt    = 0.95
	shortest  = 200 * time.Millisecond
	longest   = 2500 * time.Millisecond
	upstreamP = 0.35
)

// plan gives the faults of a seed. They overlap, and may hit the same part again.
func plan(o Options) []fault {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	list := make([]fault, 0, o.Faults)
	for range o.Faults {
		f := timed(random, o)
		if random.Float64() < upstreamP {
			f.kind, f.index = draw(random, ofUpstreams), random.IntN(o.Upstreams)
		} else {
			f.kind, f.index = draw(random, ofRouters), random.IntN(o.Routers)
		}
		list = append(list, f)
	}
	return list
}

// timed gives a fault's time.
func timed(random *rand.Rand, o Options) fault {
	return fault{
		at:    time.Duration((firstAt + (lastAt-firstAt)*random.Float64()) * float64(o.Length)),
		lasts: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
	}
}

func draw(random *rand.Rand, kinds map[string]action) string {
	names := slices.Sorted(maps.Keys(kinds))
	return names[random.IntN(len(names))]
}

func (f fault) act(ctx context.Context, w *world) {
	for _, kinds := range []map[string]action{ofRouters, ofUpstreams, ofLives, ofZones, ofDepartures, ofEndings, ofEndless, ofReleases, ofNotices, ofCopies, ofOutOfStep} {
		if a := kinds[f.kind]; a != nil {
			a(ctx, w, f)
			return
		}
	}
}
