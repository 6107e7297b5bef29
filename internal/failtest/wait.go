package failtest

import "time"

const (
	// lookEvery is the time between two looks at a condition.
	lookEvery = 20 * time.Millisecond
	// waitAtMost is when a condition that doesn't come fails the test.
	waitAtMost = 45 * time.Second
)

// Eventually looks at holds until it is true; what names the condition when it
// doesn't come.
func (w *World) Eventually(what string, holds func() bool) {
	w.t.Helper()
	if !w.comes(holds) {
		w.t.Fatalf("didn't come about: %s", what)
	}
}

// comes looks at holds until it is true, and reports whether that came.
func (w *World) comes(holds func() bool) bool {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	limit := time.NewTimer(waitAtMost)
	defer limit.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit.C:
			return false
		}
	}
	return true
}
