package soak

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/internal/waiting"
)

// Verdict is what a run showed.
type Verdict struct {
	Options Options
	// Requests is how many callers sent, Served how many were answered whole with success,
	// Refused how many were told that they have not run.
	Requests, Served, Refused int
	Faults                    []string
	Findings                  []Finding
	// Crashes tells what crashed upstreams, and how often.
	Crashes []string
	// Streams are those that callers resumed.
	Streams Streams
	// Stalls is how often this program itself got no processor for a while. What falls in
	// such a time is not judged.
	Stalls int
}

// Run plays one seed. An error means that the run could not be played.
func Run(ctx context.Context, o Options) (Verdict, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Verdict{}, errors.Trace(err)
	}
	w, err := newWorld(o)
	if err != nil {
		return Verdict{}, errors.Trace(err)
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return Verdict{}, errors.Trace(err)
	}
	v := Verdict{Options: o}
	began := time.Now()
	t := &traffic{world: w}
	busy, stop := context.WithCancel(ctx)
	defer stop()
	var duties sync.WaitGroup
	duties.Go(func() { t.run(busy, o.Callers, o.Seed) })
	if o.Crashes {
		duties.Go(func() { t.crash(busy, o.Seed) })
	}
	duties.Go(func() { v.Stalls = w.watchStalls(busy) })
	var ends endings
	duties.Go(func() { ends.watch(busy, w) })
	v.Faults = w.bring(ctx, planAll(o))
	w.heal()
	waiting.For(ctx, recovery)
	well := time.Now()
	waiting.For(ctx, quiet)
	stop()
	duties.Wait()
	w.crashes.Wait()
	c := &checker{world: w, began: began, runs: w.runs()}
	c.check(t.list)
	c.checkCrashes(t.list)
	c.checkNotices(t.list)
	v.Crashes = c.crashes
	v.Streams = c.checkStreams(t.list)
	for _, u := range w.everyLife() {
		c.checkCold(u.index, u.engine.ID, u.engine.Arrivals())
	}
	c.checkEnd(t.list, well)
	c.findings = append(c.findings, ends.findings(began)...)
	v.Findings = c.findings
	v.count(t.list)
	return v, nil
}

// planAll gives all faults of a seed.
func planAll(o Options) []fault {
	if o.Herd > 0 {
		return planHerds(o)
	}
	if o.OutOfStep {
		return planOutOfStep(o)
	}
	return slices.Concat(plan(o), planLives(o), planZones(o), planDepartures(o), planEndings(o), planEndless(o), planReleases(o), planNotices(o), planCopies(o))
}

func (v *Verdict) count(list []*attempt) {
	for _, a := range list {
		v.Requests++
		switch {
		case a.answer.Status == 200 && a.answer.Whole:
			v.Served++
		case a.answer.Refused:
			v.Refused++
		}
	}
}

// bring brings the faults about, each at its time, and returns when all are undone.
func (w *world) bring(ctx context.Context, list []fault) []string {
	slices.SortFunc(list, func(a, b fault) int { return int(a.at - b.at) })
	var all sync.WaitGroup
	var names []string
	start := time.Now()
	for _, f := range list {
		waiting.For(ctx, time.Until(start.Add(f.at)))
		names = append(names, f.String())
		all.Go(func() { f.act(ctx, w) })
	}
	all.Wait()
	return names
}

// Looks for times without processor.
const (
	stallLook = 20 * time.Millisecond
	stallOver = 250 * time.Millisecond
)

// watchStalls notes times in which this program was not scheduled: all that it measures
// then is late, whatever the routers do.
func (w *world) watchStalls(ctx context.Context) int {
	stalls := 0
	for last := time.Now(); ctx.Err() == nil; {
		waiting.For(ctx, stallLook)
		now := time.Now()
		if now.Sub(last) > stallOver {
			stalls++
			for _, p := range []part{partProcess, partCallers, partStore, partPeers, partUpstream} {
				w.journal.span(p, everywhere, last, now)
			}
		}
		last = now
	}
	return stalls
}

// endings keeps processes that ended without our doing.
type endings struct {
	mu   sync.Mutex
	list map[*router]time.Time
}

func (e *endings) watch(ctx context.Context, w *world) {
	e.list = make(map[*router]time.Time)
	for ctx.Err() == nil {
		waiting.For(ctx, stallLook)
		for _, r := range w.routers {
			if !r.ending.Load() && !r.running() && !r.ending.Load() {
				e.note(r)
			}
		}
	}
}

func (e *endings) note(r *router) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.list[r].IsZero() {
		e.list[r] = time.Now()
	}
}

func (e *endings) findings(began time.Time) []Finding {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Finding
	for r, at := range e.list {
		list = append(list, Finding{Promise: "routers don't end by themselves", Router: r.settings.Router.Name, At: at.Sub(began)})
	}
	return list
}
