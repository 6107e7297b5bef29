package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

const (
	// leavesEvery is the number of streams of which a caller leaves one in the middle, to resume it.
	leavesEvery = 3
	// unnamedEvery is the number of resumed streams of which a caller doesn't name who began one.
	unnamedEvery = 12
	// resumes is how often a caller resumes a stream, resumePause its longest pause before.
	resumes     = 3
	resumePause = 400 * time.Millisecond
)

// Streams counts the tries by which callers resumed streams.
type Streams struct {
	// Resumed is their number, Able that of those which named the first attempt at a calm router
	// while two upstreams of its version served.
	Resumed, Able int
	// WentOn and AbleWentOn are how many of each were served, Refused how many were refused.
	WentOn, AbleWentOn, Refused int
	// Orphaned are those of Able whose first router was killed meanwhile.
	Orphaned, OrphanedWentOn int
	// Begun and New are the streams that began, of those sent to calm routers.
	Begun, New int
	// Mixed are streams with events of several versions.
	Mixed int
}

// resume goes on with a stream that broke off, at any router.
func (t *traffic) resume(ctx context.Context, c *platformtest.Caller, first *attempt, entries []string, random *rand.Rand) {
	if first.Path != platformtest.PathStream || first.impatient || first.Key == passingKey {
		return
	}
	last, whole := first.answer.Last, first.answer.Whole
	for n := 1; n <= resumes && last > 0 && last < first.Events && !whole; n++ {
		waiting.For(ctx, time.Duration(random.Int64N(int64(resumePause))))
		a := &attempt{organisation: first.organisation, Call: first.Call, first: first}
		a.ID, a.Addr, a.After, a.Resumes = fmt.Sprintf("%s-%d", first.ID, n), t.world.behindOr(entries, random), last, first.ID
		if random.IntN(unnamedEvery) == 0 {
			a.Resumes = ""
		}
		if n == resumes {
			a.LeaveAfter = 0
		}
		a.able = t.world.serving(first.answer.Software[0]) > 1
		t.send(c, a)
		last, whole = max(last, a.answer.Last), a.answer.Whole
	}
}

// served reports whether a caller got what it waited for: the whole answer, or the events after which it
// left by itself.
func (a *attempt) served() bool {
	return a.answer.Whole || a.LeaveAfter > 0 && len(a.answer.Events) >= a.LeaveAfter
}

// truthfullyRefused reports whether a stream that a caller resumes may be refused though all is well since
// from: it began before, its caller didn't name the attempt that began it, or no two upstreams of its
// version serve.
func (a *attempt) truthfullyRefused(from time.Time) bool {
	return a.first != nil && (a.first.from.Before(from) || a.Resumes == "" || !a.able)
}

// serving is the number of main upstreams of a software version that serve without a disturbance.
func (w *world) serving(software string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, now := 0, time.Now()
	for _, u := range w.upstreams {
		if u.service == mainService && u.engine.Software == software && !w.history.coldAt(u.engine.ID, now) && w.journal.calm(now, now, u.index, partUpstream) {
			n++
		}
	}
	return n
}

// checkStreams: a stream holds events of one software version, over all tries of its caller.
func (c *checker) checkStreams(list []*attempt) Streams {
	var s Streams
	mixed := make(map[*attempt]bool)
	for _, a := range list {
		if a.Path != platformtest.PathStream {
			continue
		}
		first := a
		if a.first != nil {
			first = a.first
			c.countResumed(&s, a)
		} else if c.calm(a, partProcess, partCallers) && !a.impatient {
			s.New++
			if a.answer.Last > 0 {
				s.Begun++
			}
		}
		for _, version := range a.answer.Software {
			if version != first.answer.Software[0] && !mixed[first] {
				mixed[first] = true
				c.find("streams hold events of one software version", a, "it began at %s as %s and holds events of %s", first.answer.Software[0], first.ID, version)
			}
		}
	}
	s.Mixed = len(mixed)
	return s
}

func (c *checker) countResumed(s *Streams, a *attempt) {
	wentOn := a.answer.Status == http.StatusOK && a.answer.Last > a.After
	able := a.able && a.Resumes != "" && c.calm(a, partProcess, partCallers)
	s.Resumed++
	if able {
		s.Able++
	}
	if wentOn {
		s.WentOn++
	}
	if wentOn && able {
		s.AbleWentOn++
	}
	if able && !c.world.journal.sound(a.first.from, a.from, a.first.router.index, partProcess) {
		s.Orphaned++
		if wentOn {
			s.OrphanedWentOn++
		}
	}
	if a.answer.Refused {
		s.Refused++
	}
}
