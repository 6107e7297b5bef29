package fleettest

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
)

const (
	// patience bounds one request: what isn't answered by then is lost.
	patience = 60 * time.Second
	// refusedPause is the pause of a sender after anything but a whole answer.
	refusedPause = 50 * time.Millisecond
)

// Senders keep one organisation backlogged: Count requests are always outstanding.
type Senders struct {
	// Org is the index of the organisation.
	Org int
	// Routers are the entries that the senders are spread over. After anything but a
	// whole answer a sender goes to the next of them, and when all failed it to the
	// next router of the whole fleet, unless Stay is set.
	Routers []int
	Stay    bool
	Count   int
	Lengths Lengths
}

// entry is the router for sender n after it failed so many times.
func (s Senders) entry(n, failed, routers int) int {
	if s.Stay || failed < len(s.Routers) {
		return s.Routers[(n+failed)%len(s.Routers)]
	}
	return (n + failed) % routers
}

// Lengths are answers from Least to Most tokens with a Pareto tail (shape 1.1): most
// are short, a few take most of the time.
type Lengths struct{ Least, Most int }

const paretoShape = 1.1

func (l Lengths) draw(random *rand.Rand) int {
	n := float64(l.Least) * math.Pow(1-random.Float64(), -1/paretoShape)
	return int(min(n, float64(l.Most)))
}

// Traffic is a running load.
type Traffic struct {
	fleet   *Fleet
	caller  *load.Caller
	sending context.Context
	stop    context.CancelFunc
	all     sync.WaitGroup
	whole   atomic.Int64
	start   time.Time
	samples chan []load.Sample

	mu      sync.Mutex
	results []load.Result
}

// Send starts the senders; the same senders ask for the same lengths in each run.
func (f *Fleet) Send(list ...Senders) *Traffic {
	t := &Traffic{fleet: f, caller: load.NewCaller(f.Ready.Model, f.Ready.Service, patience), start: time.Now()}
	t.sending, t.stop = context.WithCancel(f.Ctx)
	meter := load.NewMeter(names(f.Ready.Organisations))
	t.caller.OnToken = meter.Add
	t.samples = make(chan []load.Sample, 1)
	go func() { t.samples <- meter.Watch(t.sending) }()
	for group, s := range list {
		for n := range s.Count {
			t.all.Go(func() { t.sender(s, group, n) })
		}
	}
	return t
}

func names(orgs []devfleet.OrgInfo) []string {
	list := make([]string, len(orgs))
	for i, o := range orgs {
		list[i] = o.Name
	}
	return list
}

// sender is sender n of the group.
func (t *Traffic) sender(s Senders, group, n int) {
	random := rand.New(rand.NewPCG(uint64(group), uint64(n)))
	org := t.fleet.Ready.Organisations[s.Org]
	failed := 0
	for count := 0; t.sending.Err() == nil; count++ {
		r := t.caller.Do(t.fleet.Ctx, load.Request{
			Marker: fmt.Sprintf("%s-%d-%d-%d", org.Name, group, n, count), Org: org, Form: load.Streamed,
			Entry:  t.fleet.Routers[s.entry(n, failed, len(t.fleet.Routers))].Info.Entry,
			Tokens: s.Lengths.draw(random),
		})
		t.note(r)
		if r.Outcome != load.Whole {
			failed++
			t.pause()
		}
	}
}

func (t *Traffic) note(r load.Result) {
	if r.Outcome == load.Whole {
		t.whole.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

func (t *Traffic) pause() {
	timer := time.NewTimer(refusedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.sending.Done():
	}
}

// WaitWhole waits until n more whole answers have come.
func (t *Traffic) WaitWhole(n int64) {
	t.fleet.t.Helper()
	target := t.whole.Load() + n
	t.fleet.Eventually("answers go on", func() error {
		if got := t.whole.Load(); got < target {
			return fmt.Errorf("%d whole answers of %d", got, target)
		}
		return nil
	})
}

// Stop ends the sending, waits for all answers and gives the record.
func (t *Traffic) Stop() load.Run {
	end := time.Now()
	t.stop()
	t.all.Wait()
	t.caller.Close()
	return load.Run{
		Scenario: load.Scenario{Name: "failures", Duration: end.Sub(t.start)},
		Start:    t.start, End: end, Drained: time.Now(),
		Results: t.results, Samples: <-t.samples, Orgs: t.fleet.Ready.Organisations,
	}
}

// Report joins a run with the upstreams' journals.
func (f *Fleet) Report(run load.Run) load.Report {
	f.t.Helper()
	attempts, err := load.Journals(f.Ctx, f.Current().Upstreams)
	if err != nil {
		f.t.Fatal(err)
	}
	return load.Analyse(run, attempts, f.Current().Upstreams, f.Excuse)
}

// Ask sends one short request of organisation org to router i.
func (f *Fleet) Ask(i, org int, marker string) load.Result {
	caller := load.NewCaller(f.Ready.Model, f.Ready.Service, patience)
	defer caller.Close()
	return caller.Do(f.Ctx, load.Request{
		Marker: marker, Org: f.Ready.Organisations[org], Form: load.Streamed,
		Entry: f.Routers[i].Info.Entry, Tokens: 4,
	})
}
