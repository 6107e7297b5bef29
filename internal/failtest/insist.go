package failtest

import "github.com/flamingowind/flamingowind/pkg/load"

// Insist sends requests that may not be repeated again and again, each time at the
// next router, until each caller has its whole answer; a caller that was refused
// sends the same call under the same key. It fails the test at once when a call ran
// that its caller was told had not, and at the end when one didn't run exactly once.
func (w *World) Insist(requests []load.Request) {
	w.t.Helper()
	open, router := requests, 0
	w.Eventually("each caller has its answer", func() bool {
		for i := range open {
			open[i] = w.At(open[i], router+i)
		}
		router++
		open = w.unanswered(w.SendAll(open...).Wait())
		return len(open) == 0
	})
	w.Idle()
	runs := w.runs()
	for _, q := range requests {
		if n := runs[q.Marker]; n != 1 {
			w.t.Errorf("%s ran %d times", q.Marker, n)
		}
	}
}

// unanswered returns the requests without a whole answer.
func (w *World) unanswered(results []load.Result) []load.Request {
	w.t.Helper()
	w.NoneRan(Filter(results, NotRun))
	var open []load.Request
	for _, r := range results {
		if !Whole(r) {
			open = append(open, r.Request)
		}
	}
	return open
}

// NoneRan fails the test when one of the requests ran.
func (w *World) NoneRan(refused []load.Result) {
	w.t.Helper()
	runs := w.runs()
	for _, r := range refused {
		if runs[r.Marker] > 0 {
			w.t.Errorf("%s ran, but its caller was told: %s", r.Marker, r.Fault)
		}
	}
}

// RanAtMostOnce waits until the upstreams are idle and fails the test when one of the
// requests ran twice.
func (w *World) RanAtMostOnce(requests []load.Request) {
	w.t.Helper()
	w.Idle()
	runs := w.runs()
	for _, q := range requests {
		if n := runs[q.Marker]; n > 1 {
			w.t.Errorf("%s ran %d times", q.Marker, n)
		}
	}
}
