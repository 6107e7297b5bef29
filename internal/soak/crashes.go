package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/internal/waiting"
	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// What crashes upstreams.
const (
	crashingBody = "this request crashes upstreams"
	crashingPart = "cc"
)

// crashing makes upstreams crash on those.
func crashing(b platformtest.Behaviour) platformtest.Behaviour {
	b.CrashOn, b.CrashOnPart = crashingBody, crashingPart
	return b
}

const (
	// crashPause is the longest pause between two requests that crash upstreams.
	crashPause = 200 * time.Millisecond
	// crashLapse is how long the entry of a crashed upstream stays on the list, crashBack the time after
	// which the next one starts in its place.
	crashLapse = 700 * time.Millisecond
	crashBack  = 1200 * time.Millisecond
	// contactTime is the time in which all calm routers know of a crash.
	contactTime = 3 * time.Second
	// allowedRepeats is how many further requests may reach upstreams after that.
	allowedRepeats = 3
	// crashNumber draws this traffic apart from the other callers'.
	crashNumber = 1 << 32
)

// crashLimits are the numbers of crashes from which on requests are refused, by what they have in common.
var crashLimits = map[string]int{crashingBody: 3, crashingPart: 5}

// crash sends requests that crash upstreams to any router until ctx ends: repeats of one, and different
// ones with a part in common.
func (t *traffic) crash(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, crashNumber))
	c := platformtest.NewCaller()
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		r := t.world.routers[random.IntN(len(t.world.routers))]
		a := &attempt{organisation: organisation(0), Call: platformtest.Call{ID: fmt.Sprintf("crash-%d", n), Addr: r.callers.Addr(), Key: lastingKey(0), Wait: patience}}
		if n%2 == 0 {
			a.Path, a.Body, a.crashes = platformtest.PathCall, crashingBody, crashingBody
		} else {
			a.Path, a.Body, a.Part, a.Events, a.crashes = platformtest.PathStream, "part of "+a.ID, crashingPart, 1+random.IntN(mostEvents), crashingPart
		}
		t.send(c, a)
		waiting.For(ctx, time.Duration(random.Int64N(int64(crashPause))))
	}
}

// crashed is called as an upstream crashes. Every other one has its relay closed with it, so that routers are
// refused; the others are known to have crashed by the list alone.
func (w *world) crashed(u *upstream) {
	end := w.journal.begin(partUpstream, u.index)
	if u.index%2 == 0 {
		u.closeRelay()
	}
	w.crashes.Go(func() {
		defer end()
		waiting.For(context.Background(), crashLapse)
		w.store.Unlist(u.engine)
		waiting.For(context.Background(), crashBack-crashLapse)
		if w.upstream(u.index) != u {
			return // it was being replaced
		}
		if _, err := w.replace(u.index, ""); err == nil {
			u.close()
		}
	})
}

// checkCrashes: requests that crash upstreams are contained, and others aren't taken for them by routers in touch
// with others: one that is cut off doesn't hear of sound runs elsewhere.
func (c *checker) checkCrashes(list []*attempt) {
	for subject, limit := range crashLimits {
		var sent []*attempt
		for _, a := range list {
			if a.crashes == subject {
				sent = append(sent, a)
			}
		}
		c.checkContained(subject, limit, sent)
	}
	for _, a := range list {
		if a.crashes == "" && strings.Contains(a.answer.Body, "upstreams crashed while") && c.calm(a, partPeers) {
			c.find("sound requests aren't refused as crashing", a, "status %d", a.answer.Status)
		}
	}
}

func (c *checker) checkContained(subject string, limit int, sent []*attempt) {
	ends := make(map[*upstream]time.Time)
	for _, a := range sent {
		for _, run := range c.runs[a.ID] {
			if at, known := ends[run.upstream]; !known || run.At.Before(at) {
				ends[run.upstream] = run.At
			}
		}
	}
	if len(ends) < limit {
		return
	}
	known := slices.SortedFunc(maps.Values(ends), time.Time.Compare)[limit-1].Add(contactTime)
	late := 0
	for _, a := range sent {
		if a.from.Before(known) || len(c.runs[a.ID]) == 0 || !c.calm(a, partProcess, partStore, partPeers) {
			continue
		}
		if late++; late == allowedRepeats+1 {
			c.find("what crashes upstreams is contained", a, "%d upstreams crashed under %q, and requests still reach others", len(ends), subject)
		}
	}
	c.crashes = append(c.crashes, fmt.Sprintf("%d upstreams crashed under %q, %d of %d requests ran once it was known", len(ends), subject, late, len(sent)))
}
