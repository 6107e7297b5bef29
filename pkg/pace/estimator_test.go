package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingowind/flamingowind/pkg/upstream"
)

var (
	slowLife  = upstream.Life{ID: "slow", Start: 1}
	usualLife = upstream.Life{ID: "usual", Start: 1}
	epoch     = time.Unix(0, 0)
)

// sample is a prompt that took factor times as long as usual.
func sample(life upstream.Life, factor float64) Sample {
	base := 200 * time.Millisecond
	return Sample{Service: "llm", Life: life, Context: 4000, Base: base, Measured: time.Duration(factor * float64(base))}
}

// Guards against one speed for all engines: an engine that is half as fast as the others would get
// as many prompts as they do, and its queue would grow until they are late.
func TestASlowEngineIsDetectedAfterAFewPrompts(t *testing.T) {
	e := NewEstimator()
	for i := range 20 {
		e.Observe(sample(slowLife, 2), epoch.Add(time.Duration(i)*100*time.Millisecond))
		e.Observe(sample(usualLife, 1), epoch.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := epoch.Add(2 * time.Second)
	require.InDelta(t, 1.8, e.Slowness(slowLife, now), 0.1)
	require.InDelta(t, 1, e.Slowness(usualLife, now), 0.01)
	require.InDelta(t, 1, e.Slowness(upstream.Life{ID: "slow", Start: 2}, now), 0.01, "a new life starts with the usual speed")
	require.InDelta(t, 1, e.Slowness(slowLife, now.Add(time.Minute)), 0.05, "the measurements decay")
}

func TestOneOutlierMovesSlownessLittle(t *testing.T) {
	e := NewEstimator()
	e.Observe(sample(slowLife, 1000), epoch)
	require.Less(t, e.Slowness(slowLife, epoch), 1.6)
}

func TestQueuedPromptsAreIgnored(t *testing.T) {
	e := NewEstimator()
	s := sample(slowLife, 5)
	s.Queue = s.Base + 1
	e.Observe(s, epoch)
	require.Equal(t, 1.0, e.Slowness(slowLife, epoch))
}

// In a large fleet one router sends a prompt to the same engine every few minutes only, so the
// routers' measurements must add up.
func TestSumsOfRoutersAddUp(t *testing.T) {
	e := NewEstimator()
	e.SetOthers(map[upstream.Life]Times{slowLife: {Base: 4000, Actual: 8000}})
	require.InDelta(t, 1.8, e.Slowness(slowLife, epoch), 0.01)
	e.SetOthers(nil)
	require.Equal(t, 1.0, e.Slowness(slowLife, epoch))
}

func TestLongPromptsAreLearnedToTakeLongerForEachToken(t *testing.T) {
	e := NewEstimator()
	s := sample(usualLife, 1.5)
	s.Context = 40_000
	for i := range 200 {
		e.Observe(s, epoch.Add(time.Duration(i)*50*time.Millisecond))
		e.Observe(sample(usualLife, 1), epoch.Add(time.Duration(i)*50*time.Millisecond))
		e.Observe(sample(usualLife, 1), epoch.Add(time.Duration(i)*50*time.Millisecond))
	}
	require.Greater(t, e.Scale("llm", 40_000), 1.15)
	require.Equal(t, 1.0, e.Scale("llm", 4000))
	require.Equal(t, 1.0, e.Scale("other", 40_000))
}

// Whatever is observed or reported, the estimates stay within their bounds and are numbers.
func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEstimator()
		now := epoch
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "passed")))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				e.Observe(Sample{Service: "llm", Life: slowLife, Context: rapid.IntRange(0, 1<<20).Draw(t, "context"),
					Base: time.Duration(rapid.Int64Range(-1e9, 1e11).Draw(t, "base")), Queue: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "queue")),
					Measured: time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "seen"))}, now)
			case 1:
				e.SetOthers(map[upstream.Life]Times{slowLife: {Base: rapid.Float64().Draw(t, "expected"), Actual: rapid.Float64().Draw(t, "told")}})
			case 2:
				var p Pauses
				p.Ms[3], p.Count[3] = rapid.Float64().Draw(t, "ms"), rapid.Float64().Draw(t, "count")
				e.SetOthersPauses(map[string]Pauses{"llm": p})
			}
			slowness, scale := e.Slowness(slowLife, now), e.Scale("llm", 1<<20)
			if !(slowness >= minSlowness && slowness <= maxSlowness) || !(scale >= 1 && scale <= maxScale+1e-9) {
				t.Fatalf("slowness %v, scale %v", slowness, scale)
			}
			c := e.Curve("llm")
			if at := c.At(400 * time.Millisecond); at < 0 || at > 400*time.Millisecond {
				t.Fatalf("pause %v", at)
			}
		}
	})
}

// A pause is attributed to the long prompt that is prefilled beside the stream, not to a short one
// there at the same time.
func TestAPauseIsAttributedToTheLongestPrompt(t *testing.T) {
	e := NewEstimator()
	at := func(after time.Duration) time.Time { return epoch.Add(after) }
	long := e.BeginPrefill("llm", slowLife, 800*time.Millisecond, at(0))
	short := e.BeginPrefill("llm", slowLife, 150*time.Millisecond, at(0))
	early := e.BeginPrefill("llm", slowLife, 900*time.Millisecond, at(0))
	early.FirstEvent(at(10 * time.Millisecond))
	require.Nil(t, e.BeginPrefill("llm", slowLife, minPrefill-1, at(0)))

	e.ObservePause(slowLife, at(100*time.Millisecond), at(500*time.Millisecond))
	e.ObservePause(usualLife, at(0), at(time.Second))
	for _, r := range []*Prefill{long, short, early} {
		r.FirstEvent(at(900 * time.Millisecond))
		r.End()
	}
	seen := e.OwnPauses()["llm"]
	require.Equal(t, 1.0, seen.Count[8])
	require.Equal(t, 400.0, seen.Ms[8])
	require.Zero(t, seen.Count[1]+seen.Count[9])
	require.Empty(t, e.prefills)
}
