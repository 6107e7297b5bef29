package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// Finding is a promise that was not kept.
type Finding struct {
	Promise string
	Request string
	Router  string
	At      time.Duration
	What    string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: request %s at %s after %.2f s: %s", f.Promise, f.Request, f.Router, f.At.Seconds(), f.What)
}

// checker compares what callers and upstreams saw with the promises.
type checker struct {
	world    *world
	began    time.Time
	runs     map[string][]ran
	findings []Finding
	// crashes tells what crashed upstreams, and how often.
	crashes []string
}

func (c *checker) find(promise string, a *attempt, format string, args ...any) {
	c.findings = append(c.findings, Finding{Promise: promise, Request: a.ID, Router: a.router.settings.Router.Name,
		At: a.from.Sub(c.began), What: fmt.Sprintf(format, args...)})
}

func (c *checker) check(list []*attempt) {
	known := make(map[string]bool, len(list))
	for _, a := range list {
		known[a.ID] = true
		runs := c.runs[a.ID]
		c.checkRuns(a, runs)
		c.checkAnswer(a, runs)
		c.checkLost(a, runs)
		c.checkConfig(a, runs)
		c.checkLate(a, runs)
	}
	for id := range c.runs {
		if !known[id] {
			c.findings = append(c.findings, Finding{Promise: "nothing unasked runs", Request: id, What: "no caller sent it"})
		}
	}
}

// checkRuns: upstreams get exactly what was asked, and no more often than allowed.
func (c *checker) checkRuns(a *attempt, runs []ran) {
	for _, run := range runs {
		if run.Path != a.Path || run.Body != a.Body {
			c.find("requests arrive unchanged", a, "%s with %d bytes arrived as %s with %d", a.Path, len(a.Body), run.Path, len(run.Body))
		}
		if run.Organisation != a.organisation || run.Key {
			c.find("upstreams learn the organisation and not the key", a, "organisation %q, key passed on: %v", run.Organisation, run.Key)
		}
	}
	most := 2
	if a.Path == platformtest.PathOnce || a.Path == platformtest.PathStreamOnce {
		most = 1
	}
	if len(runs) > most {
		c.find("nothing runs more often than allowed", a, "%s ran %d times", a.Path, len(runs))
	}
}

// checkAnswer: what callers get is one upstream's whole answer to this request, or says
// truthfully that there is none.
func (c *checker) checkAnswer(a *attempt, runs []ran) {
	if a.answer.Refused && a.answer.Stamp == "" && len(runs) > 0 {
		c.find("refused requests have not run", a, "status %d, ran %d times", a.answer.Status, len(runs))
	}
	if a.answer.Status == 0 || a.answer.Status >= http.StatusMultipleChoices {
		return
	}
	if a.answer.Stamp != platformtest.Stamp(a.ID) {
		c.find("answers belong to their request", a, "it bears %q", a.answer.Stamp)
	}
	if strings.Contains(a.Path, "stream") {
		c.checkEvents(a)
	} else if a.answer.Whole && a.answer.Body != a.Body {
		c.find("answers are passed on unchanged", a, "%d of %d bytes", len(a.answer.Body), len(a.Body))
	}
}

func (c *checker) checkEvents(a *attempt) {
	for i, id := range a.answer.Events {
		if id != a.After+i+1 {
			c.find("streams are in order", a, "event %d is number %d", id, a.After+i+1)
			return
		}
	}
	if a.answer.Whole && len(a.answer.Events) != a.Events-a.After {
		c.find("a cut stream doesn't look complete", a, "%d of %d events", len(a.answer.Events), a.Events)
	}
}

// checkLost: a calm router answers what it has passed on, and so does one that leaves.
func (c *checker) checkLost(a *attempt, runs []ran) {
	if a.served() || a.impatient || a.answer.Status >= http.StatusMultipleChoices || len(runs) == 0 {
		return
	}
	if !c.calm(a, partProcess, partCallers) || !c.upstreamsCalm(a, runs) {
		return
	}
	c.find("what was passed on is answered", a, "status %d, %d events, %v", a.answer.Status, len(a.answer.Events), a.answer.Err)
}

// upstreamsCalm reports whether the upstreams of runs answered properly.
func (c *checker) upstreamsCalm(a *attempt, runs []ran) bool {
	for _, run := range runs {
		if run.Spoiled || !c.world.journal.calm(a.from, a.to, run.upstream.index, partUpstream) {
			return false
		}
	}
	return true
}

func (c *checker) calm(a *attempt, parts ...part) bool {
	return c.world.journal.calm(a.from, a.to, a.router.index, parts...)
}

// checkConfig: a change is in force on every calm router within its time.
func (c *checker) checkConfig(a *attempt, runs []ran) {
	inForce := c.world.history.inForce(a.from, a.to)
	known, unknown := 0, 0
	services := make(map[string]bool)
	for _, d := range inForce {
		services[d.Moved] = true
		if d.Keys[a.Key] == "" {
			unknown++
		} else {
			known++
		}
	}
	if a.answer.Status == http.StatusUnauthorized && unknown == 0 || a.answer.Status == http.StatusNotFound {
		c.find("what is allowed is not denied", a, "status %d", a.answer.Status)
	}
	if !c.calm(a, partProcess, partStore, partPeers) {
		return
	}
	if known == 0 && len(runs) > 0 {
		c.find("a key that was taken away opens nothing", a, "it ran on %s", runs[0].upstream.engine.ID)
	}
	for _, run := range runs {
		if a.Path == platformtest.PathMoved && !services[run.upstream.service] {
			c.find("a moved route goes to its new service", a, "it ran on %s", run.upstream.service)
		}
		if c.world.history.unnamed(run.upstream.engine.ID, a.from, run.At) {
			c.find("an entry that names no upstream draws nothing", a, "it ran on %s", run.upstream.engine.ID)
		}
		if c.world.history.empty(run.upstream.engine.Zone, a.from, run.At) {
			c.find("an evacuated zone gets nothing new", a, "it ran on %s of %s", run.upstream.engine.ID, run.upstream.engine.Zone)
		}
		left := c.world.history.leftAt(run.upstream.engine.ID)
		if !left.IsZero() && a.from.After(left.Add(drainTime+late)) {
			c.find("upstreams that leave get nothing new", a, "%v after it was told", a.from.Sub(left))
		}
	}
}

// checkCold: a cold upstream gets no more than it bears, from all routers together. What a harmed
// link held back arrives at once as it heals; it was sent before.
func (c *checker) checkCold(index int, id string, arrivals []time.Time) {
	const bound = coldOver*coldPerSecond + coldSlack
	for _, s := range c.world.history.coldSeconds(id, arrivals) {
		if s.arrivals > bound && c.world.journal.sound(s.from.Add(-late), s.from.Add(time.Second), index, partUpstream) {
			c.findings = append(c.findings, Finding{Promise: "cold upstreams get no more than they bear", At: s.from.Sub(c.began),
				What: fmt.Sprintf("%s got %d requests in a second", id, s.arrivals)})
			return
		}
	}
}

// checkLate: routers keep to the routes' timeout, and don't work for callers that left.
func (c *checker) checkLate(a *attempt, runs []ran) {
	if !c.calm(a, partProcess, partCallers) {
		return
	}
	timeout := platformtest.RouteTimeout * time.Millisecond
	if !a.impatient && a.to.Sub(a.from) > timeout+late {
		c.find("answers keep to the route's timeout", a, "after %v", a.to.Sub(a.from))
	}
	for _, run := range runs {
		if run.At.After(a.to.Add(late)) && c.world.journal.calm(a.from, run.At, run.upstream.index, partUpstream) {
			c.find("nothing runs for callers that left", a, "it ran %v after that", run.At.Sub(a.to))
		}
	}
}

// checkEnd: after the last fault all is well again.
func (c *checker) checkEnd(list []*attempt, from time.Time) {
	served := make(map[*router]int)
	for _, a := range list {
		if a.from.Before(from) || a.impatient || a.crashes != "" || a.Key == passingKey {
			continue
		}
		if a.answer.Refused && a.truthfullyRefused(from) {
			continue
		}
		if a.answer.Status == http.StatusOK && a.served() {
			served[a.router]++
			continue
		}
		if a.answer.Refused && c.world.turnedAway(a.ID) {
			continue // upstreams were full, and the refusal says so
		}
		c.find("all is served again after the last fault", a, "status %d, %v", a.answer.Status, a.answer.Err)
	}
	for _, r := range c.world.routers {
		if served[r] == 0 {
			c.findings = append(c.findings, Finding{Promise: "all routers serve again after the last fault", Router: r.settings.Router.Name})
		}
		if r.panicked() {
			c.findings = append(c.findings, Finding{Promise: "routers don't crash", Router: r.settings.Router.Name})
		}
	}
}
