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
const warmUp = 200

// answer is the length of each answer in tokens: long enough that the time in which a
// caller on a busy machine has no request waiting is small beside it.
const answer = 40

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
	w.Eventually("the others are served", func() bool { return others.Count(failtest.Whole) >= warmUp+400 })
	after, to := w.Tokens(), time.Now()

	served := others.Stop()
	flooded := flood.Stop()
	w.AllWhole(served)
	w.Check(flooded, load.NoExcuse)
	floods := after["org-01"] - before["org-01"]
	for _, org := range []string{"org-02", "org-03"} {
		t.Logf("%s: part %.2f, %.1f requests under way at the mean", org, float64(after[org]-before[org])/float64(floods), underWay(served, org, from, to))
	}
	for _, org := range []string{"org-02", "org-03"} {
		require.Greater(t, float64(after[org]-before[org]), fairPart*float64(floods), org)
	}
	require.Less(t, medianTime(failtest.Filter(flooded, failtest.NotRun)), medianTime(served))
}

// underWay is how many requests of an organisation were under way between two times, at the mean: an
// organisation whose callers get no processor has less than its callers to wait.
func underWay(results []load.Result, org string, from, to time.Time) float64 {
	sum := time.Duration(0)
	for _, r := range results {
		began, ended := r.Sent, r.Ended
		if began.Before(from) {
			began = from
		}
		if ended.After(to) {
			ended = to
		}
		if r.Org.Name == org && ended.After(began) {
			sum += ended.Sub(began)
		}
	}
	return sum.Seconds() / to.Sub(from).Seconds()
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
