package callers_test

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/internal/devfleet"
	"github.com/flamingowind/flamingowind/internal/failtest"
	"github.com/flamingowind/flamingowind/pkg/load"
	"github.com/flamingowind/flamingowind/pkg/settings"
)

// fairPart is the least part of the flooding organisation's service that each other
// backlogged organisation of equal weight must get; equal parts would be 1.
const fairPart = 0.75

// warmUp is the number of requests after which parts are compared: the flood came first
// and holds all slots when the others begin.
const warmUp = 100

// answer is the length of each answer in tokens: long enough that the time in which a
// caller on a busy machine has no request waiting is small beside it.
const answer = 120

// One cooperative's broken client floods all routers over hundreds of connections,
// many times what the engines can do. The two others keep a modest backlog; in a queue
// by arrival they would starve behind the flood, and in a full router be turned away
// with it. All of theirs must be served, in equal parts with the flood.
func TestAFloodHarmsOnlyItself(t *testing.T) {
	t.Parallel()
	w := failtest.Start(t, func(p *devfleet.Plan) {
		p.Adjust = func(_ int, s *settings.Settings) { s.Limits.MaxQueued = 64 }
	})
	flood := w.Traffic(300, func(i int) load.Request { return w.Request(load.Streamed, 0, i, answer) })
	w.Eventually("the flood is refused", func() bool { return flood.Count(failtest.NotRun) > 300 })
	others := w.Traffic(36, func(i int) load.Request { return w.Request(load.Streamed, 1+i%2, i/2, answer) })
	w.Eventually("a refusal says when to come back", func() bool { return refusedWithTime(w) })
	w.Eventually("the others have got going", func() bool { return others.Count(failtest.Whole) >= warmUp })
	before, from := w.Tokens(), time.Now()
	granted, unopposed := w.Sum("keeper_grants"), w.Sum("keeper_grants_unopposed")
	w.Eventually("the others are served", func() bool { return others.Count(failtest.Whole) >= warmUp+200 })
	after, to := w.Tokens(), time.Now()
	granted, unopposed = w.Sum("keeper_grants")-granted, w.Sum("keeper_grants_unopposed")-unopposed

	served := others.Stop()
	flooded := flood.Stop()
	w.AllWhole(served)
	w.Check(flooded, load.NoExcuse)
	t.Logf("%.0f grants, %.0f of them while no other organisation waited at the keeper", granted, unopposed)
	floods := after["org-01"] - before["org-01"]
	for _, org := range []string{"org-02", "org-03"} {
		s := stagesOf(w, served, org, from, to)
		t.Logf("%s: part %.2f; at the mean %.1f requests waited, %.1f ran, %.1f were on their way back", org,
			float64(after[org]-before[org])/float64(floods), s.waiting, s.running, s.returning)
	}
	for _, org := range []string{"org-02", "org-03"} {
		require.Greater(t, float64(after[org]-before[org]), fairPart*float64(floods), org)
	}
	require.Less(t, medianTime(failtest.Filter(flooded, failtest.NotRun)), medianTime(served))
}

// stages is where an organisation's requests were between two times: how many waited for an engine,
// ran, and were on their way back to their callers, at the mean.
type stages struct {
	waiting, running, returning float64
}

func stagesOf(w *failtest.World, results []load.Result, org string, from, to time.Time) (s stages) {
	runs := make(map[string]load.Attempt)
	for _, a := range w.Attempts() {
		runs[a.Marker] = a
	}
	mean := func(began, ended time.Time) float64 {
		if began.Before(from) {
			began = from
		}
		if ended.After(to) {
			ended = to
		}
		return max(0, ended.Sub(began).Seconds()) / to.Sub(from).Seconds()
	}
	for _, r := range results {
		if run, ran := runs[r.Marker]; ran && r.Org.Name == org {
			s.waiting += mean(r.Sent, run.Started)
			s.running += mean(run.Started, run.Ended)
			s.returning += mean(run.Ended, r.Ended)
		}
	}
	return s
}

func refusedWithTime(w *failtest.World) bool {
	r, ok := w.Ask(0, 0)
	seconds, err := strconv.Atoi(r.RetryAfter)
	return ok && r.Status == http.StatusTooManyRequests && err == nil && seconds >= 1
}

func medianTime(results []load.Result) time.Duration {
	times := make([]time.Duration, len(results))
	for i, r := range results {
		times[i] = r.Ended.Sub(r.Sent)
	}
	slices.Sort(times)
	return times[len(times)/2]
}
