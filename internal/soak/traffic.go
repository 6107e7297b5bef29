package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// attempt is a call with what became of it.
type attempt struct {
	platformtest.Call
	organisation string
	router       *router
	from, to     time.Time
	answer       platformtest.Answer
	// impatient callers leave long before the route's timeout.
	impatient bool
	// first is the attempt that began the stream which this one resumes; nil for none.
	first *attempt
	// crashes is what of the request crashes upstreams; empty for nothing.
	crashes string
	// able is whether several upstreams of the version that began the stream served as this attempt
	// was sent.
	able bool
}

// traffic keeps callers busy.
type traffic struct {
	world *world

	mu   sync.Mutex
	list []*attempt
}

// Times of callers.
const (
	// think is the longest pause of a caller between two calls.
	think = 80 * time.Millisecond
	// askEvery is how long callers keep the addresses that they are told.
	askEvery = time.Second
	// patience is longer than the routes' timeout: a calm router answers before it.
	patience = platformtest.RouteTimeout*time.Millisecond + 2*time.Second
	// impatience is how long a caller waits that leaves early.
	impatience = 150 * time.Millisecond
	// mostEvents is the longest stream.
	mostEvents = 30
	// mostBody is the longest body, in words of eight bytes; some don't fit one segment.
	mostBody = 2000
)

// run keeps n callers busy until ctx ends, then waits for their last answers.
func (t *traffic) run(ctx context.Context, n int, seed uint64) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { t.caller(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)+1))) })
	}
	all.Wait()
}

func (t *traffic) caller(ctx context.Context, index int, random *rand.Rand) {
	c := platformtest.NewCaller()
	defer c.Close()
	var entries []string
	var asked time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(asked) > askEvery || len(entries) == 0 {
			if list := t.entries(ctx, c, random); len(list) > 0 {
				entries, asked = list, time.Now()
			}
		}
		if len(entries) > 0 {
			a := newAttempt(entries[random.IntN(len(entries))], fmt.Sprintf("%d-%d", index, n), random)
			t.send(c, a)
			t.resume(ctx, c, a, entries, random)
		}
		waiting.For(ctx, time.Duration(random.Int64N(int64(think))))
	}
}

func (t *traffic) entries(ctx context.Context, c *platformtest.Caller, random *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(ctx, askEvery)
	defer cancel()
	r := t.world.routers[random.IntN(len(t.world.routers))]
	list, err := c.Entries(ctx, r.settings.Listen.Entries)
	if err != nil {
		return nil // another router is asked next
	}
	return list
}

func (t *traffic) send(c *platformtest.Caller, a *attempt) {
	a.router = t.world.byEntry[a.Addr]
	a.from = time.Now()
	t.mu.Lock()
	t.list = append(t.list, a)
	t.mu.Unlock()
	// The call outlives the traffic: its answer is part of what is checked.
	answer := c.Send(context.Background(), a.Call)
	t.mu.Lock()
	defer t.mu.Unlock()
	a.answer, a.to = answer, time.Now()
}

func newAttempt(entry, id string, random *rand.Rand) *attempt {
	org := random.IntN(organisations)
	a := &attempt{organisation: organisation(org), Call: platformtest.Call{ID: id, Addr: entry, Key: lastingKey(org), Wait: patience}}
	paths := []string{platformtest.PathCall, platformtest.PathOnce, platformtest.PathStream, platformtest.PathStreamOnce, platformtest.PathMoved}
	a.Path = paths[random.IntN(len(paths))]
	a.Body = "body " + id
	if random.IntN(10) == 0 {
		a.Body += strings.Repeat(" padding", random.IntN(mostBody))
	}
	if strings.Contains(a.Path, "stream") {
		a.Events = 1 + random.IntN(mostEvents)
	}
	if random.IntN(15) == 0 {
		a.Key, a.organisation = passingKey, organisation(0)
	}
	if a.Path == platformtest.PathStream && a.Events > 2 && random.IntN(leavesEvery) == 0 {
		a.LeaveAfter = 1 + random.IntN(a.Events-2)
	}
	if random.IntN(15) == 0 {
		a.Wait, a.impatient = impatience, true
	}
	return a
}
