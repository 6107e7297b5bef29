package load

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/flamingowind/flamingowind/internal/devfleet"
)

// Bounds of a run.
const (
	// patience bounds one request, so that a lost answer ends the run.
	patience = 30 * time.Second
	// maxOpen bounds one organisation's open-loop requests in flight. Arrivals over it
	// wait, and their time counts from when they were meant to be sent. It is far over
	// the routers' own bounds, so that a flood meets those and isn't throttled here.
	maxOpen = 4096
	// refusedPause is the pause of a closed-loop sender after a refusal.
	refusedPause = 50 * time.Millisecond
)

// Run is what a run recorded.
type Run struct {
	Scenario Scenario
	// Start and End bound the sending; answers that were still due came until Drained.
	Start, End, Drained time.Time
	Results             []Result
	Samples             []Sample
	// Orgs are the organisations in the order of each sample's tokens.
	Orgs []devfleet.OrgInfo
}

// runner is a run in progress.
type runner struct {
	scenario Scenario
	caller   *Caller
	start    time.Time
	entries  []string
	maxOpen  int64

	mu      sync.Mutex
	results []Result
}

// Drive sends the scenario's load to the fleet, and waits for all answers.
func Drive(ctx context.Context, ready devfleet.Ready, s Scenario) Run {
	orgs := orgsOf(ready, s)
	meter := NewMeter(names(orgs))
	caller := NewCaller(ready.Model, ready.Service, patience)
	defer caller.Close()
	caller.OnToken = meter.Add
	r := &runner{scenario: s, caller: caller, entries: entriesOf(ready), maxOpen: maxOpen, start: time.Now()}
	sending, stop := context.WithDeadline(ctx, r.start.Add(s.Duration))
	defer stop()
	samples := make(chan []Sample, 1)
	go func() { samples <- meter.Watch(sending) }()
	r.sendAll(ctx, sending, orgs)
	return Run{
		Scenario: s, Start: r.start, End: r.start.Add(s.Duration), Drained: time.Now(),
		Results: r.results, Samples: <-samples, Orgs: orgs,
	}
}

// sendAll returns when all answers have come. sending ends before ctx: answers in
// progress go on when no more requests are sent.
func (r *runner) sendAll(ctx, sending context.Context, orgs []devfleet.OrgInfo) {
	var all sync.WaitGroup
	for i, p := range r.scenario.Profiles {
		picker := r.picker(ctx, p)
		all.Go(func() { r.openLoop(ctx, sending, newGenerator(r.scenario, i, orgs[i], 0), picker) })
		all.Go(func() { r.closedLoop(ctx, sending, newGenerator(r.scenario, i, orgs[i], 1), picker) })
	}
	all.Wait()
}

// picker gives a profile's entries: its routers, or those that the system names first.
func (r *runner) picker(ctx context.Context, p Profile) *entryPicker {
	picker := newEntryPicker(r.entries, p.Routers)
	if !r.scenario.Follow {
		return picker
	}
	// Without an answer the callers use what they have, as real ones would.
	if told, err := AskEntries(ctx, r.entries[0], p.Org, r.scenario.Model); err == nil && len(told.Entries) > 0 {
		picker.own = told.Entries[:min(len(told.Entries), max(len(p.Routers), followed))]
	}
	return picker
}

// followed is the least number of named entries that an organisation's callers use.
const followed = 2

// openLoop sends at the planned times, whatever became of earlier requests.
func (r *runner) openLoop(ctx, sending context.Context, g *generator, picker *entryPicker) {
	slots := semaphore.NewWeighted(r.maxOpen)
	var all sync.WaitGroup
	defer all.Wait()
	for _, at := range g.arrivals(r.scenario.Duration) {
		q := g.next(true)
		q.Intended = r.start.Add(at)
		if !pauseUntil(sending, q.Intended) || slots.Acquire(sending, 1) != nil {
			return
		}
		all.Go(func() {
			defer slots.Release(1)
			r.send(ctx, q, picker)
		})
	}
}

// closedLoop keeps the profile's backlog outstanding. The requests come from one
// generator, so that their order doesn't depend on which sender is free first.
func (r *runner) closedLoop(ctx, sending context.Context, g *generator, picker *entryPicker) {
	queue := make(chan Request)
	var all sync.WaitGroup
	defer all.Wait()
	for range g.profile.Backlog {
		all.Go(func() { r.drain(ctx, sending, queue, picker) })
	}
	if g.profile.Backlog == 0 {
		return
	}
	defer close(queue)
	for {
		select {
		case queue <- g.next(false):
		case <-sending.Done():
			return
		}
	}
}

func (r *runner) drain(ctx, sending context.Context, queue <-chan Request, picker *entryPicker) {
	for q := range queue {
		if res := r.send(ctx, q, picker); res.Outcome != Whole {
			pauseUntil(sending, time.Now().Add(refusedPause))
		}
	}
}

func (r *runner) send(ctx context.Context, q Request, picker *entryPicker) Result {
	q.Entry = picker.pick(time.Now())
	res := r.caller.Do(ctx, q)
	if res.Outcome == Unsent {
		picker.refused(q.Entry, res.Ended)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
	return res
}

// pauseUntil waits and reports whether ctx still goes on.
func pauseUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// orgsOf finds the fleet's organisation of each profile.
func orgsOf(ready devfleet.Ready, s Scenario) []devfleet.OrgInfo {
	orgs := make([]devfleet.OrgInfo, len(s.Profiles))
	for i, p := range s.Profiles {
		at := slices.IndexFunc(ready.Organisations, func(o devfleet.OrgInfo) bool { return o.Name == p.Org })
		orgs[i] = devfleet.OrgInfo{Name: p.Org, Weight: p.Weight}
		if at >= 0 {
			orgs[i] = ready.Organisations[at]
		}
	}
	return orgs
}

func entriesOf(ready devfleet.Ready) []string {
	var list []string
	for _, r := range ready.Routers {
		list = append(list, r.Entry)
	}
	return list
}

func names(orgs []devfleet.OrgInfo) []string {
	list := make([]string, len(orgs))
	for i, o := range orgs {
		list[i] = o.Name
	}
	return list
}
