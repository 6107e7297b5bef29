package failtest

import (
	"fmt"
	"time"

	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/standin/journal"
)

// AwaitRunning waits until so many attempts run at once. Where that doesn't come, it tells attempts
// that never began from those that ended before the last one began.
func (w *World) AwaitRunning(n int) {
	w.t.Helper()
	most := 0
	came := w.comes(func() bool {
		running := w.Running()
		most = max(most, running)
		return running == n
	})
	if !came {
		w.t.Fatalf("%d attempts at once didn't come about: at most %d; %s", n, most, began(w.Attempts()))
	}
}

// began tells how attempts lie in time.
func began(attempts []load.Attempt) string {
	states := make(map[string]int)
	var first, last, ended time.Time
	for _, a := range attempts {
		states[a.State]++
		if first.IsZero() || a.Started.Before(first) {
			first = a.Started
		}
		if a.Started.After(last) {
			last = a.Started
		}
		if a.State != string(journal.Running) && (ended.IsZero() || a.Ended.Before(ended)) {
			ended = a.Ended
		}
	}
	return fmt.Sprintf("%d began within %v, the first ended %v after the last began, states %v",
		len(attempts), last.Sub(first), ended.Sub(last), states)
}

// Tally counts results by what became of them.
func Tally(results []load.Result) map[string]int {
	tally := make(map[string]int)
	for _, r := range results {
		tally[fmt.Sprintf("%v, status %d, %v: %.120s", r.Outcome, r.Status, r.Verdict, r.Fault)]++
	}
	return tally
}
