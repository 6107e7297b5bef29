package stops

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/platform/platformtest"
)

// Guards against a check that takes a lost request for one that may end so, or the other way round.
func TestRequestsThatEndUnansweredAreJudged(t *testing.T) {
	stop := time.Now()
	after := func(d time.Duration) time.Time { return stop.Add(d) }
	for name, one := range map[string]struct {
		last, to time.Time
		reached  bool
		piped    bool
		found    int
	}{
		"passed on and cut":                        {after(5 * time.Second), after(7700 * time.Millisecond), true, false, 1},
		"sent early and cut at the end":            {after(2 * time.Second), after(7700 * time.Millisecond), true, false, 0},
		"sent early and cut in the middle":         {after(2 * time.Second), after(5 * time.Second), true, false, 1},
		"passed on and cut before any stop":        {after(-5 * time.Second), after(-4 * time.Second), true, false, 1},
		"closed at once and not passed on":         {after(5 * time.Second), after(5100 * time.Millisecond), false, false, 0},
		"held, closed and not passed on":           {after(5 * time.Second), after(5300 * time.Millisecond), false, false, 1},
		"behind an answer that closes":             {after(5 * time.Second), after(5300 * time.Millisecond), false, true, 0},
		"behind an answer that closes, but passed": {after(5 * time.Second), after(5300 * time.Millisecond), true, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := platformtest.NewWorker("i", 1, time.Second)
			require.NoError(t, err)
			t.Cleanup(e.Close)
			r := &router{name: "r", stops: []time.Time{stop}}
			q := &request{router: r, pipelined: one.piped, from: one.last, last: one.last, to: one.to, answer: platformtest.WireAnswer{Err: io.ErrUnexpectedEOF}}
			q.ID = "q"
			if one.reached {
				sendTo(t, e, "q")
			}
			w := &world{routers: []*router{r}, workers: []*platformtest.Worker{e}, traffic: &traffic{list: []*request{q}}}
			require.Len(t, w.check().Findings, one.found)
		})
	}
}

// sendTo makes a request reach the worker.
func sendTo(t *testing.T, e *platformtest.Worker, id string) {
	c, err := platformtest.DialWire(e.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, platformtest.WireRequest{ID: id, Path: "/"}.Head())
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(e.Runs(id)) == 1 }, 10*time.Second, time.Millisecond)
}

// Guards against a check that excuses a router which was killed though the machine was calm, or one that
// wasn't killed.
func TestOnlyStarvedRoutersAreExcused(t *testing.T) {
	stop := time.Now()
	stall := [][2]time.Time{{stop.Add(6 * time.Second), stop.Add(6300 * time.Millisecond)}}
	for name, one := range map[string]struct {
		killed bool
		stalls [][2]time.Time
		found  int
	}{
		"killed beside a stall": {true, stall, 0}, "killed, calm": {true, nil, 1}, "beside a stall, not killed": {false, stall, 1},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := platformtest.NewWorker("i", 1, time.Second)
			require.NoError(t, err)
			t.Cleanup(e.Close)
			sendTo(t, e, "q")
			r := &router{name: "r", leaving: stop, stops: []time.Time{stop}}
			if one.killed {
				r.noteKill()
			}
			q := &request{router: r, last: stop.Add(5 * time.Second), to: stop.Add(grace), answer: platformtest.WireAnswer{Err: io.ErrUnexpectedEOF}}
			q.ID = "q"
			w := &world{routers: []*router{r}, workers: []*platformtest.Worker{e}, traffic: &traffic{list: []*request{q}}, stalls: stalls{list: one.stalls}}
			require.Len(t, w.check().Findings, one.found)
		})
	}
}
