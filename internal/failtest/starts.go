package failtest

import "time"

// quietFor is how long an upstream must get nothing new, while others do, to count as
// one that gets no work any more.
const quietFor = 2 * time.Second

// AwaitNoNewWork waits until the upstream has got nothing new for a while during which
// others went on getting work, and returns when its last request began to run.
func (w *World) AwaitNoNewWork(upstream string) (last time.Time) {
	w.t.Helper()
	w.Eventually(upstream+" gets no new work", func() bool {
		var others time.Time
		last, others = w.lastStarts(upstream)
		return others.Sub(last) > quietFor
	})
	return last
}

// AwaitNewWork waits until another request begins to run on the upstream.
func (w *World) AwaitNewWork(upstream string) {
	w.t.Helper()
	since := time.Now()
	w.Eventually(upstream+" gets new work", func() bool {
		last, _ := w.lastStarts(upstream)
		return last.After(since)
	})
}

// lastStarts is when the newest request began to run on the upstream and elsewhere.
func (w *World) lastStarts(upstream string) (here, others time.Time) {
	w.t.Helper()
	for _, a := range w.Attempts() {
		newest := &others
		if a.Upstream == upstream {
			newest = &here
		}
		if a.Started.After(*newest) {
			*newest = a.Started
		}
	}
	return here, others
}

// Tokens is the service that each organisation has received, by name.
func (w *World) Tokens() map[string]int {
	w.t.Helper()
	tokens := make(map[string]int)
	for _, u := range w.Ready.Upstreams {
		for _, a := range w.report(u).Attempts {
			tokens[a.Org] += a.Tokens
		}
	}
	return tokens
}
