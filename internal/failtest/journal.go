package failtest

import (
	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/journal"
)

// Attempts reads the journals of all upstreams. It waits for crashed ones to come back,
// since a journal outlives a crash.
func (w *World) Attempts() []load.Attempt {
	w.t.Helper()
	var attempts []load.Attempt
	w.Eventually("journals", func() (ok bool) {
		var err error
		attempts, err = load.Journals(w.ctx, w.Ready.Upstreams)
		return err == nil
	})
	return attempts
}

// markerOf is the caller's mark of the request that ran. It doesn't reach plain
// services; for what may not be repeated the key is the marker.
func markerOf(a load.Attempt) string {
	if a.Marker != "" {
		return a.Marker
	}
	return a.Key
}

// Runs is how often the request with marker ran, on any upstream.
func (w *World) Runs(marker string) int {
	w.t.Helper()
	return w.runs()[marker]
}

// runs counts attempts by marker.
func (w *World) runs() map[string]int {
	w.t.Helper()
	runs := make(map[string]int)
	for _, a := range w.Attempts() {
		runs[markerOf(a)]++
	}
	return runs
}

// Running is the number of attempts that run now.
func (w *World) Running() int {
	w.t.Helper()
	n := 0
	for _, a := range w.Attempts() {
		if a.State == string(journal.Running) {
			n++
		}
	}
	return n
}

// Crashes is how often engines and services crashed by a request.
func (w *World) Crashes() int {
	w.t.Helper()
	n := 0
	for _, u := range w.Ready.Upstreams {
		n += len(w.report(u).Crashes)
	}
	return n
}

func (w *World) report(u devfleet.UpstreamInfo) journal.Report {
	w.t.Helper()
	var r journal.Report
	w.getJSON(u.URL+"/admin/journal", &r)
	return r
}

// Idle waits until no upstream runs anything.
func (w *World) Idle() {
	w.t.Helper()
	w.Eventually("upstreams are idle", func() bool { return w.Running() == 0 })
}

// Check waits until the upstreams are idle and holds the results against the
// journals. Any lost, doubled or cut request and any false refusal fails the test,
// but for broken connections that excuse allows.
func (w *World) Check(results []load.Result, excuse load.Excuse) load.Audit {
	w.t.Helper()
	w.Idle()
	audit := load.Check(results, w.Attempts(), excuse)
	if !audit.Clean() {
		w.t.Errorf("lost %d, doubled %d, cut %d, false refusals %d:\n%q",
			audit.Lost, audit.Doubled, audit.Cut, audit.FalseRefusals, audit.Faults)
	}
	return audit
}

// AllWhole fails the test unless each caller got its whole answer.
func (w *World) AllWhole(results []load.Result) {
	w.t.Helper()
	for _, r := range results {
		if !Whole(r) {
			w.t.Errorf("%s %s at %s: %s: %s", r.Form, r.Marker, r.Entry, r.Outcome, r.Fault)
		}
	}
	w.Check(results, load.NoExcuse)
}
