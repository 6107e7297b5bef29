package stops

import (
	"fmt"
	"net/http"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// Verdict is what a run showed.
type Verdict struct {
	Options Options
	// Requests is how many callers sent whole, Served how many were answered with success.
	Requests, Served int
	// Refused were told that they have not run, Failed got another failure.
	Refused, Failed int
	// Cut were read and not answered as their engine still worked in the last sixth of the grace, which
	// is allowed. Unread ended within the slack and were not passed on. Pipelined were sent behind a
	// request whose answer closed the connection, and were not passed on.
	Cut, Unread, Pipelined int
	// Starved ended as their router was killed after a grace in which this program got no processor for a
	// while, and the router neither: that is no planned work, and not judged.
	Starved int
	// KeptUnanswered counts requests from kept connections that reached an engine and got no answer.
	KeptUnanswered int
	// Reached counts requests that reached engines, Kept those of them on connections that had carried
	// others; GivenUp and KeptGivenUp those whose connections to the engine a router closed without an
	// answer while their callers waited, before the last sixth of a grace.
	Reached, Kept, GivenUp, KeptGivenUp int
	// EndedAtStart counts processes that a signal ended in the first moments of their life.
	EndedAtStart int64
	// Killed counts routers that had not ended when their grace was over.
	Killed   int64
	Stalls   int
	Stops    int
	Notes    []string
	Findings []string
}

func (w *world) check() Verdict {
	v := Verdict{Options: w.options, EndedAtStart: w.endedAtStart.Load(), Killed: w.killed.Load(), Stalls: w.stalls.count(), Notes: w.notes}
	for _, r := range w.routers {
		v.Stops += len(r.stops)
	}
	for _, q := range w.traffic.list {
		w.checkRequest(&v, q)
	}
	if v.KeptGivenUp > keptAllowed {
		v.Findings = append(v.Findings, fmt.Sprintf("%d kept connections to engines were closed without an answer", v.KeptGivenUp))
	}
	if v.KeptUnanswered > keptAllowed {
		v.Findings = append(v.Findings, fmt.Sprintf("%d requests from kept connections reached an engine and got no answer", v.KeptUnanswered))
	}
	return v
}

// keptAllowed is how often a request from a kept connection, or on one to an engine, may get no answer.
const keptAllowed = 3

func (w *world) checkRequest(v *Verdict, q *request) {
	if q.last.IsZero() {
		return // it was not sent whole
	}
	v.Requests++
	runs := w.runs(q.ID)
	w.countGivenUp(v, q, runs)
	if !q.answer.Whole {
		w.checkUnanswered(v, q, runs)
		return
	}
	switch {
	case q.answer.Status == http.StatusOK:
		v.Served++
	case q.answer.Promised:
		v.Refused++
		if len(ran(runs)) > 0 && !q.answer.Ran {
			v.find(w, q, "it was refused as not run, and ran %d times", len(ran(runs)))
		}
	default:
		v.Failed++
		v.Notes = append(v.Notes, fmt.Sprintf("%s %s: status %d after %v", q.ID, q.kind, q.answer.Status, q.to.Sub(q.from)))
	}
}

// countGivenUp counts how connections to engines ended.
func (w *world) countGivenUp(v *Verdict, q *request, runs []platformtest.WorkerRun) {
	for _, run := range runs {
		v.Reached++
		stop := q.router.stopBefore(q.to)
		givenUp := !run.Gone.IsZero() && run.Answered.IsZero() && run.Gone.Before(q.to) && (stop.IsZero() || run.Gone.Before(stop.Add(grace*5/6)))
		if run.Kept {
			v.Kept++
		}
		if givenUp {
			v.GivenUp++
			v.Notes = append(v.Notes, fmt.Sprintf("%s %s: given up at its engine %v after it came", q.ID, q.kind, run.Gone.Sub(run.At)))
		}
		if givenUp && run.Kept {
			v.KeptGivenUp++
		}
	}
}

// checkUnanswered judges a request that was sent whole and whose connection ended without an answer.
func (w *world) checkUnanswered(v *Verdict, q *request, runs []platformtest.WorkerRun) {
	passedOn, waited := len(runs) > 0, q.to.Sub(q.last)
	stop := q.router.stopBefore(q.to)
	switch {
	case !passedOn && q.pipelined:
		v.Pipelined++
	case !passedOn && (waited <= lossSlack || w.stalls.touch(q.last.Add(-stallOver), q.to)):
		v.Unread++
	case passedOn && !stop.IsZero() && q.last.Before(stop.Add(early)) && q.to.After(stop.Add(grace*5/6)):
		v.Cut++
	case q.router.killed(stop) && w.stalls.touch(stop, q.to):
		v.Starved++
	default:
		if passedOn && q.kept {
			v.KeptUnanswered++
		}
		v.find(w, q, "passed on %v, ended %v after its last byte, %d ms after the signal to stop (sent %d ms after it): %v",
			passedOn, waited, q.to.Sub(stop).Milliseconds(), q.last.Sub(stop).Milliseconds(), q.answer.Err)
	}
}

func (v *Verdict) find(w *world, q *request, format string, args ...any) {
	v.Findings = append(v.Findings, fmt.Sprintf("%s %s (%s) at %s after %.2f s, kept %v: ", q.ID, q.kind, q.Path, q.router.name, q.from.Sub(w.began).Seconds(), q.kept)+fmt.Sprintf(format, args...))
}

func (w *world) runs(id string) []platformtest.WorkerRun {
	var list []platformtest.WorkerRun
	for _, e := range w.workers {
		list = append(list, e.Runs(id)...)
	}
	return list
}

// ran are those that were not turned away.
func ran(runs []platformtest.WorkerRun) []platformtest.WorkerRun {
	var list []platformtest.WorkerRun
	for _, r := range runs {
		if !r.Turned {
			list = append(list, r)
		}
	}
	return list
}

// String tells the figures of a run.
func (v Verdict) String() string {
	return fmt.Sprintf("seed %d: %d routers, %d stops, %d requests sent whole, %d served, %d refused, %d failed, %d cut as allowed, %d unread, %d pipelined behind a close, %d reached engines (%d on kept connections, %d given up there, %d of these kept), %d ended at their start, %d killed, %d starved, %d stalls, %d findings",
		v.Options.Seed, v.Options.Routers, v.Stops, v.Requests, v.Served, v.Refused, v.Failed, v.Cut, v.Unread, v.Pipelined, v.Reached, v.Kept, v.GivenUp, v.KeptGivenUp, v.EndedAtStart, v.Killed, v.Starved, v.Stalls, len(v.Findings))
}
